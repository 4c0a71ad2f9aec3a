package dev.baobabhollow.cli.demo

import dev.baobabhollow.cli.ChildProcesses
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

/** Runs two failure domains under load on loopback and checks the promises. */
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
        val printProgress = { text: String -> print("[${seconds(start)} s] $text") }
        val result = ChildProcesses(directory).use { children -> DemoRun(children, directory, printProgress).run() }
        val checks = checkPromises(result)
        print("")
        print(demoText(result))
        print("")
        print(promiseText(checks))
        val brokenCount = checks.count { !it.held }
        print("")
        print("${checks.size - brokenCount} promises held, $brokenCount broken, in ${seconds(start)} s")
        if (keep || brokenCount > 0) print("settings and logs: $directory") else directory.deleteRecursively()
        return if (brokenCount == 0) EXIT_DONE else EXIT_FAILED
    }

    private fun seconds(startNanos: Long): String {
        val millis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos)
        return String.format(Locale.ROOT, "%.1f", millis / MILLIS_PER_SECOND)
    }
}
