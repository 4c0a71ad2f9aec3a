package dev.baobabhollow.cli

import dev.baobabhollow.node.checkDocument
import kotlinx.cli.ArgType

/** Validates a file and prints all errors. */
internal class ValidateCommand(
    output: Output,
) : Command("validate", "Checks a file of node settings, a mesh configuration or a patch", output) {
    private val file by argument(ArgType.String, description = "JSON file")

    override fun run(): Int {
        val (kind, errors) = checkDocument(readFile(file))
        if (errors.isEmpty()) {
            print("$file: $kind, no errors")
            return EXIT_DONE
        }
        print("$file: $kind, ${errors.size} ${if (errors.size == 1) "error" else "errors"}")
        errors.forEach { print("  $it") }
        return EXIT_FAILED
    }
}
