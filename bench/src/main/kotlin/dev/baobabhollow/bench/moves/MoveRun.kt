package dev.baobabhollow.bench.moves

import dev.baobabhollow.model.MovePhase
import dev.baobabhollow.model.MovePlan
import dev.baobabhollow.model.MoveState
import dev.baobabhollow.model.OutcomeSummary
import dev.baobabhollow.moves.MoveDecision
import dev.baobabhollow.moves.MoveJudge
import java.util.PriorityQueue
import java.util.random.RandomGenerator

/** Outcome of one simulated move. Times are epoch milliseconds, or null if the event did not happen. */
internal data class MoveOutcome(
    val isTakenBack: Boolean,
    val isCompletedInTime: Boolean,
    val isGivenUp: Boolean,
    val reason: String,
    val firstFaultAtMillis: Long?,
    val visibleAtMillis: Long?,
    val enoughEvidenceAtMillis: Long?,
    val noTrafficAtMillis: Long?,
    val allCalls: Long,
    val newCalls: Long,
    val faultyCalls: Long,
    val newCallsBeforeVisible: Long,
    val allCallsBeforeVisible: Long,
    val faultyCallsBeforeVisible: Long,
)

private data class Delivery(
    val atMillis: Long,
    val summary: OutcomeSummary,
)

/**
 * Runs one simulated move. [judge] gets delayed, duplicated and reordered summaries; [promptJudge] gets them undelayed.
 */
internal class MoveRun(
    private val plan: MovePlan,
    private val traffic: SimulatedTraffic,
    private val knownFault: KnownFaultTest,
    private val judge: MoveJudge,
    private val promptJudge: MoveJudge?,
    private val options: MovesOptions,
    private val random: RandomGenerator,
) {
    private val deliveries = PriorityQueue<Delivery>(compareBy { it.atMillis })
    private var state = MoveState(plan, "bench")
    private var routedPermille = 0
    private var nextShareAtMillis = Long.MAX_VALUE
    private var nextPermille = 0
    private var enoughEvidenceAtMillis: Long? = null
    private var noTrafficAtMillis: Long? = null
    private var isGivenUp = false
    private var beforeVisible = Triple(0L, 0L, 0L)

    /** True if no further step can change the outcome. */
    val isFinished: Boolean
        get() =
            when (state.phase) {
                MovePhase.DONE -> true
                MovePhase.TAKEN_BACK -> noTrafficAtMillis != null
                else -> false
            }

    /** Simulates the step that starts at [atMillis] and returns the summaries that the nodes send at its end. */
    fun step(atMillis: Long): List<OutcomeSummary> {
        if (atMillis >= nextShareAtMillis) applyShare(atMillis)
        traffic.step(atMillis, routedPermille)
        if (knownFault.provenAtMillis == null) {
            beforeVisible = Triple(traffic.newCalls, traffic.allCalls, traffic.faultyCalls)
        }
        return traffic.summaries(atMillis + SimulatedTraffic.STEP_MILLIS)
    }

    private fun applyShare(atMillis: Long) {
        routedPermille = nextPermille
        nextShareAtMillis = Long.MAX_VALUE
        if (state.phase == MovePhase.TAKEN_BACK) noTrafficAtMillis = atMillis
    }

    /** Queues [summaries], which end at [nowMillis], delivers due ones and applies the decision of [judge]. */
    fun decide(
        summaries: List<OutcomeSummary>,
        nowMillis: Long,
    ) {
        summaries.forEach { send(it, nowMillis) }
        while (deliveries.isNotEmpty() &&
            deliveries.peek().atMillis <= nowMillis
        ) {
            judge.observe(deliveries.poll().summary)
        }
        decidePromptly(summaries, nowMillis)
        if (state.phase.isFinal || nowMillis % options.decisionMillis != 0L) return
        when (val decision = judge.decide(state, nowMillis)) {
            is MoveDecision.Hold -> {
                Unit
            }

            is MoveDecision.Advance -> {
                enter(
                    phaseOf(decision.sharePermille),
                    decision.sharePermille,
                    decision.reason,
                    nowMillis,
                )
            }

            is MoveDecision.Finish -> {
                enter(MovePhase.DONE, FULL_PERMILLE, decision.reason, nowMillis)
            }

            is MoveDecision.TakeBack -> {
                takeBack(decision, nowMillis)
            }
        }
    }

    private fun send(
        summary: OutcomeSummary,
        nowMillis: Long,
    ) {
        val isLate = random.nextDouble() < LATE_SHARE
        val delay =
            if (isLate) {
                random.nextLong(
                    MAX_LATE_MILLIS,
                )
            } else {
                random.nextLong(MIN_DELAY_MILLIS, MAX_DELAY_MILLIS)
            }
        deliveries += Delivery(nowMillis + delay, summary)
        if (random.nextDouble() < REPEAT_SHARE) {
            deliveries += Delivery(nowMillis + delay + random.nextLong(MAX_LATE_MILLIS), summary)
        }
    }

    private fun decidePromptly(
        summaries: List<OutcomeSummary>,
        nowMillis: Long,
    ) {
        if (promptJudge == null || enoughEvidenceAtMillis != null) return
        summaries.forEach(promptJudge::observe)
        if (summaries.isEmpty() || state.phase.isFinal) return
        val decision = promptJudge.decide(state, nowMillis)
        if (decision is MoveDecision.TakeBack &&
            isFault(decision)
        ) {
            enoughEvidenceAtMillis = nowMillis - options.summaryMillis
        }
    }

    private fun isFault(decision: MoveDecision.TakeBack) = decision.evidence.detail.isNotEmpty()

    private fun takeBack(
        decision: MoveDecision.TakeBack,
        nowMillis: Long,
    ) {
        isGivenUp = !isFault(decision)
        enter(MovePhase.TAKEN_BACK, 0, decision.reason, nowMillis)
    }

    private fun phaseOf(sharePermille: Int) =
        if (sharePermille == FULL_PERMILLE) MovePhase.WATCHING else MovePhase.RAMPING

    private fun enter(
        phase: MovePhase,
        sharePermille: Int,
        reason: String,
        nowMillis: Long,
    ) {
        state =
            state.copy(
                stage = state.stage + 1,
                phase = phase,
                sharePermille = sharePermille,
                stageAtMillis = nowMillis,
                reason = reason,
                fullShareAtMillis = if (phase == MovePhase.WATCHING) nowMillis else state.fullShareAtMillis,
            )
        nextPermille = sharePermille
        nextShareAtMillis = nowMillis + PROPAGATION_MILLIS
    }

    /** Returns the outcome of the move so far. */
    fun outcome(): MoveOutcome =
        MoveOutcome(
            isTakenBack = state.phase == MovePhase.TAKEN_BACK,
            isCompletedInTime =
                state.phase == MovePhase.DONE && (state.fullShareAtMillis ?: Long.MAX_VALUE) <= plan.completeByMillis,
            isGivenUp = isGivenUp,
            reason = state.reason,
            firstFaultAtMillis = traffic.firstFaultAtMillis,
            visibleAtMillis = knownFault.provenAtMillis,
            enoughEvidenceAtMillis = enoughEvidenceAtMillis,
            noTrafficAtMillis = noTrafficAtMillis,
            allCalls = traffic.allCalls,
            newCalls = traffic.newCalls,
            faultyCalls = traffic.faultyCalls,
            newCallsBeforeVisible = beforeVisible.first,
            allCallsBeforeVisible = beforeVisible.second,
            faultyCallsBeforeVisible = beforeVisible.third,
        )

    private companion object {
        const val FULL_PERMILLE = 1_000

        /** Time until all nodes route by a new stage: one log append and its propagation. */
        const val PROPAGATION_MILLIS = 250L
        const val MIN_DELAY_MILLIS = 10L
        const val MAX_DELAY_MILLIS = 250L
        const val LATE_SHARE = 0.02
        const val MAX_LATE_MILLIS = 3_000L
        const val REPEAT_SHARE = 0.02
    }
}
