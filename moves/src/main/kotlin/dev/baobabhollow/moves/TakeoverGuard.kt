package dev.baobabhollow.moves

import dev.baobabhollow.model.MovePhase
import dev.baobabhollow.model.MoveState
import dev.baobabhollow.model.OutcomeSummary

/**
 * Slots of a release: those of targets that can take calls now, and those of all targets that live nodes have announced
 * and not withdrawn.
 */
data class ReleaseSlots(
    val serving: Int,
    val announced: Int,
)

/**
 * Checks that the new release of one move can take over from the old one, whatever its judge decides. A judge sees only
 * calls, and a release without usable targets gets none. Not thread-safe.
 *
 * While targets are missing, the share does not rise and the move is not done. A move is done only after calls at the
 * full share have succeeded, or near its deadline if there are none. A release that still cannot take over near the
 * deadline is taken back.
 */
class TakeoverGuard {
    private var calls = 0L
    private var successes = 0L
    private var oldCalls = 0L
    private var takeBackFromMillis: Long? = null

    /** Most slots of either release that served at the same time; those of nodes that have died are missing later. */
    private var newPeak = 0
    private var oldPeak = 0

    /** Counts outcomes at the full share. Repeated summaries do not change the result much, so they count again. */
    fun observe(
        summary: OutcomeSummary,
        move: MoveState,
    ) {
        if (move.phase != MovePhase.WATCHING) return
        if (summary.release != move.plan.to) {
            oldCalls += summary.calls
        } else {
            calls += summary.calls
            successes += (summary.calls - summary.errors - summary.shed).coerceAtLeast(0)
        }
    }

    /**
     * Returns [decision], or another one if the release with the slots [new] can't take over from that with the slots
     * [old].
     */
    fun check(
        decision: MoveDecision,
        move: MoveState,
        new: ReleaseSlots,
        old: ReleaseSlots,
        nowMillis: Long,
    ): MoveDecision {
        newPeak = maxOf(newPeak, new.serving)
        oldPeak = maxOf(oldPeak, old.serving)
        val evidence =
            when (decision) {
                is MoveDecision.Advance -> decision.evidence
                is MoveDecision.Finish -> decision.evidence
                is MoveDecision.Hold, is MoveDecision.TakeBack -> return decision
            }
        val isFinish = decision is MoveDecision.Finish
        val lack = missingTargets(move, new) ?: if (isFinish) missingSuccesses() else null
        if (lack == null) {
            takeBackFromMillis = null
            val mayFindCalls = isFinish && successes == 0L && nowMillis < finalStepMillis(move)
            return if (mayFindCalls) MoveDecision.Hold("no calls at the full share yet") else decision
        }
        val takeBackFrom =
            takeBackFromMillis
                ?: maxOf(finalStepMillis(move), nowMillis + MIN_LACK_MILLIS).also { takeBackFromMillis = it }
        // An isolated node sees few targets of either release.
        val isOldInSight = 2 * old.serving > maxOf(old.announced, oldPeak)
        return when {
            nowMillis < takeBackFrom -> MoveDecision.Hold(lack)
            !isOldInSight -> MoveDecision.Hold("$lack, nor do those of the old release")
            else -> MoveDecision.TakeBack(lack, evidence.copy(detail = lack))
        }
    }

    private fun missingTargets(
        move: MoveState,
        new: ReleaseSlots,
    ): String? {
        val announced = maxOf(new.announced, newPeak)
        if (new.serving > 0 && 2 * new.serving >= announced) return null
        return "${new.serving} of $announced slots of release ${move.plan.to} serve"
    }

    /** Calls that still go to the old release at the full share show that nodes see no targets of the new one. */
    private fun missingSuccesses(): String? {
        val isMissing = if (calls > 0) successes < calls * MIN_SUCCESS_SHARE else oldCalls >= MIN_OLD_CALLS
        return if (isMissing) "$successes of $calls calls at the full share succeeded" else null
    }

    private fun finalStepMillis(move: MoveState): Long {
        val span = move.plan.completeByMillis - move.plan.startAtMillis
        return move.plan.completeByMillis - (span * MARGIN_SHARE).toLong()
    }

    private companion object {
        /** Part of the time to the deadline that is left for storing the final stage. */
        const val MARGIN_SHARE = 0.1

        /** Shortest lack for which a release is taken back: a node that has just started knows few targets. */
        const val MIN_LACK_MILLIS = 5_000L
        const val MIN_SUCCESS_SHARE = 0.25

        /** Calls of the old release that may have been answered just before the share rose. */
        const val MIN_OLD_CALLS = 3L
    }
}
