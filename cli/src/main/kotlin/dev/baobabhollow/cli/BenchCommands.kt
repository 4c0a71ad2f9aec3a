package dev.baobabhollow.cli

import dev.baobabhollow.bench.calls.CallsBench
import dev.baobabhollow.bench.calls.CallsBenchOptions
import dev.baobabhollow.bench.claims.ClaimsBenchOptions
import dev.baobabhollow.bench.claims.runClaimsBench
import dev.baobabhollow.bench.distribution.DistributionOptions
import dev.baobabhollow.bench.distribution.renderDistributionReport
import dev.baobabhollow.bench.distribution.runDistributionBench
import dev.baobabhollow.bench.moves.BenchMember
import dev.baobabhollow.bench.moves.MovesOptions
import dev.baobabhollow.bench.moves.renderMovesReport
import dev.baobabhollow.bench.moves.runMovesBench
import dev.baobabhollow.node.OperatorJson
import kotlinx.cli.ArgType
import kotlinx.cli.default

private const val DEFAULT_MOVES = 1_000
private const val DEFAULT_SEED = 1

/** Simulates moves with the decision code and with a baseline. */
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

/** Measures the latency that nodes add and the goodput at overload. */
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

/** Measures convergence and control traffic for fleets of several sizes. */
internal class BenchDistributionCommand(
    output: Output,
) : Command(
        "distribution",
        "Measures convergence and control traffic of fleets of several sizes in one process",
        output,
    ) {
    private val sizes by option(
        ArgType.String,
        description = "numbers of nodes, separated by commas",
    ).default("8,16,32,64")
    private val changes by option(
        ArgType.Int,
        description = "patches for each size",
    ).default(DistributionOptions().changes)
    private val seed by option(ArgType.Int, description = "seed").default(DEFAULT_SEED)
    private val json by option(ArgType.Boolean, description = "print JSON").default(false)

    override fun run(): Int {
        val numbers = sizes.split(',').map { it.trim().toIntOrNull() ?: failUsage("--sizes: $it is not a number") }
        if (numbers.any { it < 1 } || changes < 1) failUsage("--sizes and --changes must be at least 1")
        val options = DistributionOptions(sizes = numbers, changes = changes, seed = seed.toLong())
        val report = runDistributionBench(options)
        val text = if (json) OperatorJson.encodeToString(report) else renderDistributionReport(report)
        print(text)
        return EXIT_DONE
    }
}

/** Measures how fast idempotency keys of callers are claimed. */
internal class BenchClaimsCommand(
    output: Output,
) : Command("claims", "Measures claims of caller-made keys at several nodes against a stand-in log", output) {
    private val nodes by option(ArgType.Int, description = "nodes").default(ClaimsBenchOptions().nodes)

    override fun run(): Int {
        if (nodes < 1) failUsage("--nodes must be at least 1")
        runClaimsBench(ClaimsBenchOptions(nodes = nodes), output.out)
        return EXIT_DONE
    }
}
