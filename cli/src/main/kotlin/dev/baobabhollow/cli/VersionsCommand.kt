package dev.baobabhollow.cli

import com.github.michaelbull.result.getOrElse
import dev.baobabhollow.model.PatchResult
import dev.baobabhollow.model.PatchVerdict
import dev.baobabhollow.node.OperatorJson
import dev.baobabhollow.node.VersionsDocument
import kotlinx.cli.ArgType
import kotlinx.cli.default
import kotlinx.cli.required
import java.time.Instant

/** Prints the last patches with their verdicts. */
internal class VersionsCommand(
    output: Output,
) : Command("versions", "Shows the last patches with their verdicts", output) {
    private val node by option(EndpointOption, description = "operator port of a node").required()
    private val json by option(ArgType.Boolean, description = "print JSON").default(false)

    override fun run(): Int {
        val document = OperatorClient().versions(node).getOrElse { fail(it.toString()) }
        print(if (json) OperatorJson.encodeToString(document) else text(document))
        return EXIT_DONE
    }

    private fun text(document: VersionsDocument): String {
        val rows = document.verdicts.map { cells(it, document) }
        return "node ${document.node} routes by version ${document.version}\n" + table(HEADINGS, rows)
    }

    private fun cells(
        verdict: PatchVerdict,
        document: VersionsDocument,
    ): List<String> {
        val version = (verdict.result as? PatchResult.Accepted)?.version
        val inForce = document.inForce.firstOrNull { it.version == version }
        return listOf(
            verdict.offset.toString(),
            Instant.ofEpochMilli(verdict.appendedAtMillis).toString(),
            verdict.operator,
            verdict.baseVersion.toString(),
            version?.toString() ?: "-",
            inForce?.let { "${it.sinceMillis - verdict.appendedAtMillis} ms" } ?: "-",
            resultText(verdict.result),
        )
    }

    private fun resultText(result: PatchResult): String =
        when (result) {
            is PatchResult.Accepted -> "accepted"
            is PatchResult.Conflict -> "conflict with ${result.winner ?: "no accepted patch"}"
            is PatchResult.Invalid -> "invalid: ${result.errors.joinToString("; ")}"
        }

    private companion object {
        val HEADINGS = listOf("OFFSET", "APPENDED", "OPERATOR", "BASE", "VERSION", "IN FORCE AFTER", "RESULT")
    }
}
