package dev.baobabhollow.cli.faults

import dev.baobabhollow.cli.ChildProcesses
import dev.baobabhollow.cli.Command
import dev.baobabhollow.cli.EXIT_DONE
import dev.baobabhollow.cli.EXIT_FAILED
import dev.baobabhollow.cli.Output
import dev.baobabhollow.cli.failUsage
import kotlinx.cli.ArgType
import java.io.File
import java.nio.file.Files
import java.time.LocalDate
import java.time.ZoneOffset

/** Runs every step under every fault against real processes. */
internal class BenchFaultsCommand(
    output: Output,
) : Command("faults", "Runs each fault at each step against processes on loopback, in several minutes", output) {
    private val fault by option(ArgType.String, description = "only faults whose name contains this text")
    private val step by option(ArgType.String, description = "only steps whose name contains this text")
    private val out by option(ArgType.String, description = "file to which the page is written")

    override fun run(): Int {
        val faults = FAULTS.filter { fault == null || fault.orEmpty() in it.name }
        val steps = STEPS.filter { step == null || step.orEmpty() in it.name }
        if (faults.isEmpty()) failUsage("--fault names none of ${FAULTS.map { it.name }}")
        if (steps.isEmpty()) failUsage("--step names none of ${STEPS.map { it.name }}")
        val directory = Files.createTempDirectory("baobabhollow-faults").toFile()
        val cells = ChildProcesses(directory).use { FaultMatrix(it, directory, ::print).run(faults, steps) }
        out?.let { File(it).writeText(renderFaultPage(cells, LocalDate.now(ZoneOffset.UTC).toString())) }
        val broken = cells.count { !it.isHeld }
        print("${cells.size - broken} cells held, $broken broken")
        if (broken > 0) print("settings and logs: $directory") else directory.deleteRecursively()
        return if (broken == 0) EXIT_DONE else EXIT_FAILED
    }
}
