package dev.baobabhollow.moves

import dev.baobabhollow.model.MoveEvidence
import dev.baobabhollow.model.MoveId
import dev.baobabhollow.model.MovePhase
import dev.baobabhollow.model.MoveState
import dev.baobabhollow.model.OutcomeSummary

/** Returns a judge for [move]. The judge gets the plan with the first call of [MoveJudge.decide]. */
fun moveJudge(
    move: MoveId,
    policy: MovePolicy,
): MoveJudge = SequentialMoveJudge(move, policy)

/**
 * Takes a release back by the sequential tests of [FaultEvidence], and otherwise shifts traffic as [Ramp] decides. The
 * false alarm rate holds for each judge; if k judges succeed one another in one move, it is at most k times as high.
 */
internal class SequentialMoveJudge(
    private val id: MoveId,
    private val policy: MovePolicy,
) : MoveJudge {
    private class Session(
        val collector: OutcomeCollector,
        val evidence: FaultEvidence,
        val comparison: OutcomeComparison,
    )

    private val pending = ArrayDeque<OutcomeSummary>()
    private val ramp = Ramp(policy)
    private var session: Session? = null
    private var fault: MoveDecision.TakeBack? = null
    private var stage = -1
    private var callsAtStage = 0L
    private var judgingSinceMillis = 0L

    override fun observe(summary: OutcomeSummary) {
        val known = session
        if (known != null) return known.collector.add(summary)
        pending.addLast(summary)
        if (pending.size > MAX_PENDING) pending.removeFirst()
    }

    override fun decide(
        move: MoveState,
        nowMillis: Long,
    ): MoveDecision {
        if (move.phase.isFinal) return MoveDecision.Hold("move $id is over")
        val current = session ?: openSession(move, nowMillis)
        fault?.let { return it }
        current.evidence.investUntil(elapsedShare(move, nowMillis))
        current.comparison.advance(move.sharePermille, nowMillis)
        current.collector.forgetBefore(nowMillis - MEMORY_MILLIS)
        val assessment = current.evidence.assess()
        assessment.fault?.let { return takeBack(current, it) }
        return if (move.phase ==
            MovePhase.WATCHING
        ) {
            watch(current, move, nowMillis)
        } else {
            advance(current, move, assessment, nowMillis)
        }
    }

    private fun openSession(
        move: MoveState,
        nowMillis: Long,
    ): Session {
        judgingSinceMillis = nowMillis
        val collector = OutcomeCollector(move.plan, policy)
        val evidence = FaultEvidence(policy, collector.references, move.evidence)
        val opened = Session(collector, evidence, OutcomeComparison(policy, collector, evidence))
        pending.forEach(collector::add)
        pending.clear()
        session = opened
        return opened
    }

    private fun elapsedShare(
        move: MoveState,
        nowMillis: Long,
    ): Double {
        val span = (move.plan.watchUntilMillis - move.plan.startAtMillis).coerceAtLeast(1)
        return (nowMillis - move.plan.startAtMillis).toDouble() / span
    }

    private fun takeBack(
        session: Session,
        finding: Finding,
    ): MoveDecision {
        val reason = finding.describe()
        return MoveDecision.TakeBack(reason, summarize(session, reason)).also { fault = it }
    }

    private fun watch(
        session: Session,
        move: MoveState,
        nowMillis: Long,
    ): MoveDecision =
        if (nowMillis >= move.plan.watchUntilMillis) {
            MoveDecision.Finish("no fault until the end of watching", summarize(session, ""))
        } else {
            MoveDecision.Hold("watches until ${move.plan.watchUntilMillis}")
        }

    private fun advance(
        session: Session,
        move: MoveState,
        assessment: Assessment,
        nowMillis: Long,
    ): MoveDecision {
        val calls =
            session.collector.newCalls.values
                .sum()
        if (move.stage != stage) {
            stage = move.stage
            callsAtStage = calls
        }
        val routeCalls =
            session.collector.references.keys
                .associateWith { session.collector.newCalls[it] ?: 0L }
        val timedCalls = session.collector.timedCalls
        val rampEvidence =
            RampEvidence(calls, calls - callsAtStage, timedCalls, routeCalls, assessment, judgingSinceMillis)
        return when (
            val step =
                ramp.next(
                    move,
                    rampEvidence,
                    nowMillis,
                )
        ) {
            is RampStep.Wait -> MoveDecision.Hold(step.reason)
            is RampStep.Raise -> MoveDecision.Advance(step.sharePermille, step.reason, summarize(session, ""))
            is RampStep.GiveUp -> MoveDecision.TakeBack(step.reason, summarize(session, ""))
        }
    }

    private fun summarize(
        session: Session,
        detail: String,
    ): MoveEvidence {
        val references = session.collector.references.values
        return MoveEvidence(
            newCalls =
                session.collector.newCalls.values
                    .sum(),
            newErrors = session.collector.newErrors,
            oldCalls = references.sumOf { it.calls },
            oldErrors = references.sumOf { it.errors },
            detail = detail,
        )
    }

    private companion object {
        /** Most summaries that are kept until the plan is known. */
        const val MAX_PENDING = 20_000

        /** Time for which arrived summaries are remembered, so that repeats count once. */
        const val MEMORY_MILLIS = 120_000L
    }
}
