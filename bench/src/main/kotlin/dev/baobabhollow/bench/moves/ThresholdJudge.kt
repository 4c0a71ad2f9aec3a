package dev.baobabhollow.bench.moves

import dev.baobabhollow.model.FULL_SHARE_PERMILLE
import dev.baobabhollow.model.MoveEvidence
import dev.baobabhollow.model.MovePhase
import dev.baobabhollow.model.MoveState
import dev.baobabhollow.model.OutcomeSummary
import dev.baobabhollow.moves.MoveDecision
import dev.baobabhollow.moves.MoveJudge

/** Baseline judge: fixed shares at fixed times, and a fixed threshold on the error share of the last 10 s. */
internal class ThresholdJudge : MoveJudge {
    private val recent = ArrayDeque<OutcomeSummary>()
    private val pending = ArrayList<OutcomeSummary>()
    private var move: MoveState? = null
    private var calls = 0L
    private var errors = 0L

    override fun observe(summary: OutcomeSummary) {
        val plan = move?.plan
        if (plan == null) {
            pending += summary
        } else if (summary.service == plan.service && summary.release == plan.to) {
            recent.addLast(summary)
            calls += summary.calls
            errors += summary.errors
        }
    }

    override fun decide(
        move: MoveState,
        nowMillis: Long,
    ): MoveDecision {
        if (this.move == null) {
            this.move = move
            pending.forEach(::observe)
            pending.clear()
        }
        while (recent.isNotEmpty() && recent.first().endsAtMillis < nowMillis - WINDOW_MILLIS) {
            val expired = recent.removeFirst()
            calls -= expired.calls
            errors -= expired.errors
        }
        val evidence = MoveEvidence(calls, errors, 0, 0)
        return when {
            calls >= MIN_CALLS && errors > calls * MAX_ERROR_SHARE -> MoveDecision.TakeBack("errors", evidence)
            move.phase == MovePhase.WATCHING -> finish(move, nowMillis, evidence)
            else -> advance(move, nowMillis, evidence)
        }
    }

    private fun finish(
        move: MoveState,
        nowMillis: Long,
        evidence: MoveEvidence,
    ) = if (nowMillis >= move.plan.watchUntilMillis) {
        MoveDecision.Finish("watched", evidence)
    } else {
        MoveDecision.Hold("watches")
    }

    private fun advance(
        move: MoveState,
        nowMillis: Long,
        evidence: MoveEvidence,
    ): MoveDecision {
        val rampMillis = (move.plan.completeByMillis - move.plan.startAtMillis) * RAMP_SHARE
        val progress = ((nowMillis - move.plan.startAtMillis) / rampMillis * STEPS.size).toInt()
        val duePermille = if (nowMillis < move.plan.startAtMillis) 0 else STEPS[progress.coerceIn(0, STEPS.lastIndex)]
        return if (duePermille > move.sharePermille) {
            MoveDecision.Advance(duePermille, "step", evidence)
        } else {
            MoveDecision.Hold("waits")
        }
    }

    private companion object {
        val STEPS = listOf(10, 50, 100, 250, 500, FULL_SHARE_PERMILLE)
        const val RAMP_SHARE = 0.9
        const val WINDOW_MILLIS = 10_000L
        const val MIN_CALLS = 20L
        const val MAX_ERROR_SHARE = 0.05
    }
}
