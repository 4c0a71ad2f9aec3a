package dev.baobabhollow.bench.moves

import dev.baobabhollow.model.MoveId
import dev.baobabhollow.model.MovePlan
import dev.baobabhollow.model.ReleaseId
import dev.baobabhollow.model.ServiceId
import dev.baobabhollow.moves.MoveJudge
import dev.baobabhollow.moves.MovePolicy
import dev.baobabhollow.moves.moveJudge
import java.util.concurrent.Callable
import java.util.concurrent.Executors
import java.util.random.RandomGenerator
import java.util.random.RandomGeneratorFactory

/**
 * Options of [runMovesBench]: the [member] whose sizes and policy apply, the number of [moves] of each kind, the [seed]
 * and the number of [threads]. Nodes send summaries every [summaryMillis], and the judge decides every
 * [decisionMillis]; both are multiples of 250 ms.
 */
data class MovesOptions(
    val member: BenchMember,
    val moves: Int = 1_000,
    val seed: Long = 1,
    val threads: Int = 8,
    val summaryMillis: Long = 1_000,
    val decisionMillis: Long = 500,
    val kinds: List<MoveKind> = MoveKind.entries,
)

/** Runs simulated moves of each kind with the decision code and with the baseline. */
fun runMovesBench(options: MovesOptions): MovesReport {
    val startedNanos = System.nanoTime()
    val pool = Executors.newFixedThreadPool(options.threads)
    try {
        val results =
            options.kinds.associateWith { kind ->
                (0 until options.moves).map { index ->
                    pool.submit(Callable { MovesBench(options, kind, index).run() })
                }
            }
        val rows = results.map { (kind, futures) -> summarize(kind, futures.map { it.get() }) }
        return MovesReport(
            options.member,
            options.moves,
            options.seed,
            options.summaryMillis,
            options.decisionMillis,
            seconds = (System.nanoTime() - startedNanos) / NANOS,
            rows = rows,
        )
    } finally {
        pool.shutdownNow()
    }
}

private const val NANOS = 1e9

/** Outcomes of the same simulated move with the decision code and with the baseline. */
internal data class PairedOutcome(
    val judged: MoveOutcome,
    val baseline: MoveOutcome,
)

/** Simulates move number [index] of [kind]. */
internal class MovesBench(
    private val options: MovesOptions,
    private val kind: MoveKind,
    private val index: Int,
) {
    private val policy = MovePolicy.of(options.member.priority)

    /** Runs the move twice from the same seed: with the decision code and with the baseline. */
    fun run(): PairedOutcome =
        PairedOutcome(
            judged = runWith(countsLatency = true) { plan -> moveJudge(MoveId("move-${plan.service}"), policy) },
            baseline = runWith(countsLatency = false) { ThresholdJudge() },
        )

    private fun runWith(
        countsLatency: Boolean,
        createJudge: (MovePlan) -> MoveJudge,
    ): MoveOutcome {
        val random = generator()
        val services = options.member.services
        val runs =
            listOf(
                createRun(kind, services[index % services.size], countsLatency, random, createJudge),
            ).toMutableList()
        kind.companionKind?.let {
            runs +=
                createRun(it, services[(index + 1) % services.size], countsLatency, random, createJudge)
        }
        val end = START_MILLIS + MAX_SECONDS * MILLIS
        var now = START_MILLIS - LEAD_IN_MILLIS
        while (now < end && !runs.first().isFinished) {
            val active = runs.filterNot { it.isFinished }
            val summaries = active.flatMap { it.step(now) }
            now += SimulatedTraffic.STEP_MILLIS
            active.forEach { it.decide(summaries, now) }
        }
        return runs.first().outcome()
    }

    private fun generator(): RandomGenerator {
        val streamSeed = options.seed * SEED_STRIDE + kind.ordinal * MOVES_PER_KIND + index
        return RandomGeneratorFactory.of<RandomGenerator>("L64X128MixRandom").create(streamSeed)
    }

    private fun createRun(
        kind: MoveKind,
        service: ServiceTraffic,
        countsLatency: Boolean,
        random: RandomGenerator,
        createJudge: (MovePlan) -> MoveJudge,
    ): MoveRun {
        val planMillis = service.planSeconds * MILLIS
        val plan =
            MovePlan(
                ServiceId(service.name),
                ReleaseId("${service.name}@1"),
                ReleaseId("${service.name}@2"),
                START_MILLIS,
                START_MILLIS + planMillis,
                START_MILLIS + planMillis + WATCH_MILLIS,
            )
        val domains = options.member.domains
        val conditions = SimulatedConditions(kind, planMillis, WATCH_MILLIS, domains, random)
        val knownFault = KnownFaultTest(policy.falseAlarmRate)
        val traffic =
            SimulatedTraffic(
                service,
                plan,
                kind.trafficFactor,
                domains,
                conditions,
                knownFault,
                countsLatency,
                options.summaryMillis,
                random,
            )
        val promptJudge = if (kind.isBad && countsLatency) createJudge(plan) else null
        return MoveRun(plan, traffic, knownFault, createJudge(plan), promptJudge, options, random)
    }

    private companion object {
        const val MILLIS = 1_000L
        const val START_MILLIS = 1_000_000_000L
        const val LEAD_IN_MILLIS = 20_000L
        const val WATCH_MILLIS = 40_000L
        const val MAX_SECONDS = 1_200L
        const val SEED_STRIDE = 1_000_003L * 64
        const val MOVES_PER_KIND = 1_000_000L
    }
}
