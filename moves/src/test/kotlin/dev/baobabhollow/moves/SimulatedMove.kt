package dev.baobabhollow.moves

import dev.baobabhollow.model.FailureDomainId
import dev.baobabhollow.model.LatencyHistogram
import dev.baobabhollow.model.MoveEvidence
import dev.baobabhollow.model.MoveId
import dev.baobabhollow.model.MovePhase
import dev.baobabhollow.model.MovePlan
import dev.baobabhollow.model.MovePriority
import dev.baobabhollow.model.MoveState
import dev.baobabhollow.model.NodeId
import dev.baobabhollow.model.OutcomeSummary
import dev.baobabhollow.model.ReleaseId
import dev.baobabhollow.model.RouteId
import dev.baobabhollow.model.ServiceId
import java.util.Random
import kotlin.math.exp

internal val PLAN =
    MovePlan(ServiceId("vitrina"), ReleaseId("1"), ReleaseId("2"), 1_000_000, 1_120_000, 1_150_000)

/** Behavior of one target's calls in one second: the shares that fail and are shed, and a factor on their latency. */
internal data class Behavior(
    val errors: Double = 0.002,
    val slowFactor: Double = 1.0,
    val shed: Double = 0.0,
)

/**
 * Place and time of simulated calls. [second] counts from the start of the move, and [callsBefore] is the number of
 * earlier calls to the same target.
 */
internal data class CallContext(
    val isNew: Boolean,
    val isRare: Boolean,
    val domain: Int,
    val second: Int,
    val sharePermille: Int,
    val callsBefore: Long,
)

/** Runs a judge second by second on seeded random outcomes of 4 failure domains and 2 routes. */
internal class SimulatedMove(
    priority: MovePriority,
    seed: Long,
    private val callsPerSecond: Double = 400.0,
    private val behavior: (CallContext) -> Behavior,
) {
    private val policy = MovePolicy.of(priority)
    private val random = Random(seed)
    private val callsBefore = HashMap<NodeId, Long>()

    /** Transforms the summaries of each second before the judge observes them. */
    var delivery: (List<OutcomeSummary>) -> List<OutcomeSummary> = { it }

    /** Current judge of the move; may be replaced at any time. */
    var judge = newJudge()

    /** Stages that the move entered. */
    val stages = ArrayList<MoveState>()

    var state = MoveState(PLAN, "operator")
        private set

    fun newJudge() = moveJudge(MoveId("move"), policy)

    /** Runs from [LEAD_IN_SECONDS] before the start until the move ends, calling [eachSecond] after each second. */
    fun run(eachSecond: (second: Int) -> Unit = {}): SimulatedMove {
        var second = -LEAD_IN_SECONDS
        while (!state.phase.isFinal && second < MAX_SECONDS) {
            val now = PLAN.startAtMillis + (second + 1) * 1_000L
            delivery(summaries(second, now)).forEach(judge::observe)
            apply(judge.decide(state, now), now)
            eachSecond(second)
            second++
        }
        return this
    }

    private fun apply(
        decision: MoveDecision,
        now: Long,
    ) = when (decision) {
        is MoveDecision.Hold -> {
            Unit
        }

        is MoveDecision.Advance -> {
            val phase = if (decision.sharePermille == 1_000) MovePhase.WATCHING else MovePhase.RAMPING
            enter(phase, decision.sharePermille, decision.reason, decision.evidence, now)
        }

        is MoveDecision.TakeBack -> {
            enter(MovePhase.TAKEN_BACK, 0, decision.reason, decision.evidence, now)
        }

        is MoveDecision.Finish -> {
            enter(MovePhase.DONE, 1_000, decision.reason, decision.evidence, now)
        }
    }

    private fun enter(
        phase: MovePhase,
        share: Int,
        reason: String,
        evidence: MoveEvidence,
        now: Long,
    ) {
        val full = if (phase == MovePhase.WATCHING) now else state.fullShareAtMillis
        state =
            state.copy(
                stage = state.stage + 1,
                phase = phase,
                sharePermille = share,
                reason = reason,
                evidence = evidence,
                stageAtMillis = now,
                fullShareAtMillis = full,
            )
        stages += state
    }

    private fun summaries(
        second: Int,
        now: Long,
    ): List<OutcomeSummary> =
        (0 until DOMAINS).flatMap { domain ->
            listOf(false, true).flatMap { isNew ->
                listOf(false, true).mapNotNull { isRare -> summarize(domain, isNew, isRare, second, now) }
            }
        }

    private fun summarize(
        domain: Int,
        isNew: Boolean,
        isRare: Boolean,
        second: Int,
        now: Long,
    ): OutcomeSummary? {
        val share = if (isNew) state.sharePermille / 1_000.0 else 1 - state.sharePermille / 1_000.0
        val mean = callsPerSecond * share * (if (isRare) RARE_SHARE else 1 - RARE_SHARE) / DOMAINS
        val node = NodeId("$domain-$isNew")
        val context = CallContext(isNew, isRare, domain, second, state.sharePermille, callsBefore[node] ?: 0)
        val behavior = behavior(context)
        val arrivals = poisson(mean)
        val shed = (0 until arrivals).count { random.nextDouble() < behavior.shed }
        val calls = arrivals - shed
        if (arrivals == 0) return null
        callsBefore.merge(node, calls.toLong(), Long::plus)
        val latency = LatencyHistogram()
        repeat(calls) { latency.record((20_000 * behavior.slowFactor * exp(0.4 * random.nextGaussian())).toLong()) }
        return OutcomeSummary(
            node,
            FailureDomainId("domain-$domain"),
            PLAN.service,
            RouteId(if (isRare) "rare" else "main"),
            if (isNew) PLAN.to else PLAN.from,
            now,
            calls.toLong(),
            (0 until calls).count { random.nextDouble() < behavior.errors }.toLong(),
            shed.toLong(),
            latency.encode(),
        )
    }

    private fun poisson(mean: Double): Int {
        var count = 0
        var product = random.nextDouble()
        while (product > exp(-mean)) {
            count++
            product *= random.nextDouble()
        }
        return count
    }

    private companion object {
        const val DOMAINS = 4
        const val LEAD_IN_SECONDS = 10
        const val MAX_SECONDS = 300
        const val RARE_SHARE = 0.05
    }
}
