package dev.baobabhollow.moves

import dev.baobabhollow.model.MoveEvidence
import dev.baobabhollow.model.MoveId
import dev.baobabhollow.model.MovePhase
import dev.baobabhollow.model.MoveState
import dev.baobabhollow.model.OutcomeSummary

/** Creates a judge for [move]. The judge learns the plan from the first call of [MoveJudge.decide]. */
fun moveJudge(
    move: MoveId,
    policy: MovePolicy,
): MoveJudge = SequentialMoveJudge(move, policy)

/**
 * Condemns a release by the sequential tests of [FaultEvidence], and else moves traffic as [Ramp] says. The false alarm
 * rate holds for each judge; when k judges follow one another in one move, it is at most k times as high.
 */
internal class SequentialMoveJudge(
    private val id: MoveId,
    private val policy: MovePolicy,
) : MoveJudge {
    private class Session(
        val intake: OutcomeIntake,
        val evidence: FaultEvidence,
        val comparison: OutcomeComparison,
    )

    private val early = ArrayDeque<OutcomeSummary>()
    private val ramp = Ramp(policy)
    private var session: Session? = null
    private var fault: MoveDecision.TakeBack? = null
    private var stage = -1
    private var callsAtStage = 0L
    private var watchesSinceMillis = 0L

    override fun observe(summary: OutcomeSummary) {
        val known = session
        if (known != null) return known.intake.add(summary)
        early.addLast(summary)
        if (early.size > MAX_EARLY) early.removeFirst()
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
        current.intake.forgetBefore(nowMillis - MEMORY_MILLIS)
        val assessment = current.evidence.assess()
        assessment.fault?.let { return condemn(current, it) }
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
        watchesSinceMillis = nowMillis
        val intake = OutcomeIntake(move.plan, policy)
        val evidence = FaultEvidence(policy, intake.references, move.evidence)
        val opened = Session(intake, evidence, OutcomeComparison(policy, intake, evidence))
        early.forEach(intake::add)
        early.clear()
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

    private fun condemn(
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
            session.intake.newCalls.values
                .sum()
        if (move.stage != stage) {
            stage = move.stage
            callsAtStage = calls
        }
        val routeCalls =
            session.intake.references.keys
                .associateWith { session.intake.newCalls[it] ?: 0L }
        val timedCalls = session.intake.timedCalls
        val rampEvidence =
            RampEvidence(calls, calls - callsAtStage, timedCalls, routeCalls, assessment, watchesSinceMillis)
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
        val references = session.intake.references.values
        return MoveEvidence(
            newCalls =
                session.intake.newCalls.values
                    .sum(),
            newErrors = session.intake.newErrors,
            oldCalls = references.sumOf { it.calls },
            oldErrors = references.sumOf { it.errors },
            detail = detail,
        )
    }

    private companion object {
        /** Summaries kept before the plan is known. */
        const val MAX_EARLY = 20_000

        /** Time for which arrived summaries are remembered, so that repeats count once. */
        const val MEMORY_MILLIS = 120_000L
    }
}
