package dev.baobabhollow.cli.demo

import dev.baobabhollow.cli.Children
import dev.baobabhollow.cli.Command
import dev.baobabhollow.cli.EXIT_DONE
import dev.baobabhollow.cli.EXIT_FAILED
import dev.baobabhollow.cli.Output
import kotlinx.cli.ArgType
import kotlinx.cli.default
import java.nio.file.Files
import java.util.Locale
import java.util.concurrent.TimeUnit

private const val MILLIS_PER_SECOND = 1_000.0

/** Shows the system at work on loopback and checks its promises. */
internal class DemoCommand(
    output: Output,
) : Command(
        "demo",
        "Runs two failure domains with load, patches and moves on loopback and checks the promises",
        output,
    ) {
    private val keep by option(
        ArgType.Boolean,
        description = "keep the settings and logs of all processes",
    ).default(false)

    override fun run(): Int {
        val start = System.nanoTime()
        val directory = Files.createTempDirectory("baobabhollow-demo").toFile()
        val say = { text: String -> print("[${seconds(start)} s] $text") }
        val result = Children(directory).use { children -> DemoRun(children, directory, say).run() }
        val checks = checkPromises(result)
        print("")
        print(demoText(result))
        print("")
        print(promiseText(checks))
        val broken = checks.count { !it.held }
        print("")
        print("${checks.size - broken} promises held, $broken broken, in ${seconds(start)} s")
        if (keep || broken > 0) print("settings and logs: $directory") else directory.deleteRecursively()
        return if (broken == 0) EXIT_DONE else EXIT_FAILED
    }

    private fun seconds(startNanos: Long): String {
        val millis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos)
        return String.format(Locale.ROOT, "%.1f", millis / MILLIS_PER_SECOND)
    }
}
