package dev.baobabhollow.cli

import dev.baobabhollow.cli.capacity.CapacityCommand
import dev.baobabhollow.cli.demo.DemoCommand
import dev.baobabhollow.cli.faults.BenchFaultsCommand
import dev.baobabhollow.cli.faults.BenchSoakCommand
import kotlinx.cli.ArgParser
import kotlinx.cli.ExperimentalCli

private const val PROGRAM = "baobabhollow"

/** Runs the command given by [args], writes to [output] and returns the exit code. */
@OptIn(ExperimentalCli::class)
fun runCommand(
    args: Array<String>,
    output: Output,
): Int {
    val parser = ArgParser(PROGRAM, strictSubcommandOptionsOrder = true)
    throwOnTermination(parser)
    parser.subcommands(*commands(output))
    return try {
        parser.parse(if (args.isEmpty()) arrayOf("--help") else args)
        EXIT_USAGE
    } catch (exit: CommandExit) {
        val code = if (args.isEmpty()) EXIT_USAGE else exit.code
        exit.message?.let { (if (code == EXIT_DONE) output.out else output.err).println(it.trimEnd()) }
        code
    }
}

private fun commands(output: Output): Array<Command> =
    arrayOf(
        NodeCommand(output),
        ValidateCommand(output),
        PublishCommand(output),
        StatusCommand(output),
        VersionsCommand(output),
        MovesCommand(output),
        CommandGroup("report", "Reports", output, BurnCommand(output), CapacityCommand(output)),
        CommandGroup("standin", "Stand-ins for tests", output, StandInLogCommand(output), StandInTargetCommand(output)),
        CommandGroup(
            "bench",
            "Load and experiments",
            output,
            BenchMovesCommand(output),
            BenchCallsCommand(output),
            BenchFaultsCommand(output),
            BenchSoakCommand(output),
            BenchDistributionCommand(output),
            BenchClaimsCommand(output),
        ),
        DemoCommand(output),
        ExerciseCommand(output),
    )
