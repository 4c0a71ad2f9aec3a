package dev.baobabhollow.cli.faults

import dev.baobabhollow.cli.ChildProcesses
import dev.baobabhollow.cli.Command
import dev.baobabhollow.cli.EXIT_DONE
import dev.baobabhollow.cli.EXIT_FAILED
import dev.baobabhollow.cli.Output
import dev.baobabhollow.cli.failUsage
import kotlinx.cli.ArgType
import kotlinx.cli.default
import java.nio.file.Files

/** Runs random faults against real processes, one seed at a time. */
internal class BenchSoakCommand(
    output: Output,
) : Command("soak", "Runs random faults against processes on loopback and checks the promises", output) {
    private val seed by option(ArgType.Int, description = "first seed").default(1)
    private val seeds by option(ArgType.Int, description = "number of seeds").default(1)
    private val seconds by option(ArgType.Int, description = "time with faults for each seed, in seconds").default(20)

    override fun run(): Int {
        if (seeds < 1) failUsage("--seeds must be at least 1")
        if (seconds < 1) failUsage("--seconds must be at least 1")
        val results = (seed until seed + seeds).map { runSeed(it.toLong()) }
        val broken = results.filter { !it.isHeld }
        print("${results.size - broken.size} seeds held, ${broken.size} broken ${broken.map { it.seed }}")
        return if (broken.isEmpty()) EXIT_DONE else EXIT_FAILED
    }

    private fun runSeed(seed: Long): SoakResult {
        val directory = Files.createTempDirectory("baobabhollow-soak").toFile()
        val result =
            ChildProcesses(directory).use { Soak(it, directory, ::print).run(seed, seconds * MILLIS_PER_SECOND) }
        print(
            "seed $seed: ${if (result.isHeld) "held" else "BROKEN, settings and logs: $directory"}: ${result.observed}",
        )
        if (result.isHeld) directory.deleteRecursively()
        return result
    }

    private companion object {
        const val MILLIS_PER_SECOND = 1_000L
    }
}
