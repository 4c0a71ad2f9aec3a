package dev.baobabhollow.cli

import dev.baobabhollow.bench.calls.CallsBench
import dev.baobabhollow.bench.calls.CallsBenchOptions
import dev.baobabhollow.bench.moves.BenchMember
import dev.baobabhollow.bench.moves.MovesOptions
import dev.baobabhollow.bench.moves.renderMovesReport
import dev.baobabhollow.bench.moves.runMovesBench
import kotlinx.cli.ArgType
import kotlinx.cli.default

private const val DEFAULT_MOVES = 1_000
private const val DEFAULT_SEED = 1

/** Runs simulated moves. */
internal class BenchMovesCommand(
    output: Output,
) : Command("moves", "Simulates moves of each kind with the decision code and with a baseline", output) {
    private val member by option(
        ArgType.Choice(BenchMember.entries, { name -> BenchMember.entries.first { it.name.lowercase() == name } }, {
            it.name.lowercase()
        }),
        description = "member whose sizes and policy apply",
    ).default(BenchMember.entries.first())
    private val moves by option(ArgType.Int, description = "moves of each kind").default(DEFAULT_MOVES)
    private val seed by option(ArgType.Int, description = "seed").default(DEFAULT_SEED)
    private val json by option(ArgType.Boolean, description = "print JSON").default(false)

    override fun run(): Int {
        if (moves < 1) failUsage("--moves must be at least 1")
        val report = runMovesBench(MovesOptions(member, moves, seed.toLong()))
        print(if (json) report.toJson() else renderMovesReport(report))
        return EXIT_DONE
    }
}

/** Measures added latency and goodput. */
internal class BenchCallsCommand(
    output: Output,
) : Command("calls", "Measures the latency that nodes add and the goodput at overload, in about two minutes", output) {
    private val json by option(ArgType.Boolean, description = "print JSON").default(false)
    private val seed by option(ArgType.Int, description = "seed").default(DEFAULT_SEED)

    override fun run(): Int {
        val report = CallsBench(CallsBenchOptions(seed = seed.toLong())).run()
        print(if (json) report.toJson() else report.toTable())
        return if (report.meetsObjectives) EXIT_DONE else EXIT_FAILED
    }
}
