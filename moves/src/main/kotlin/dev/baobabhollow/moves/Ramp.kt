package dev.baobabhollow.moves

import dev.baobabhollow.model.FULL_SHARE_PERMILLE
import dev.baobabhollow.model.MovePriority
import dev.baobabhollow.model.MoveState
import dev.baobabhollow.model.RouteId

/** Says what the new release has shown so far. [stepCalls] counts its calls at the present share,
 * [timedCalls] those after warm-up.
 * The judge has watched the move since [watchesSinceMillis]. */
internal data class RampEvidence(
    val calls: Long,
    val stepCalls: Long,
    val timedCalls: Long,
    val routeCalls: Map<RouteId, Long>,
    val assessment: Assessment,
    val watchesSinceMillis: Long,
)

/** Says whether and to which share a ramp moves on. */
internal sealed interface RampStep {
    val reason: String

    data class Wait(
        override val reason: String,
    ) : RampStep

    data class Raise(
        val sharePermille: Int,
        override val reason: String,
    ) : RampStep

    data class GiveUp(
        override val reason: String,
    ) : RampStep
}

/** Decides on the share of a release without a fault, from the calls it has had and the time that is left. */
internal class Ramp(
    private val policy: MovePolicy,
) {
    /** Returns the next step of [move], which is ramping, at [nowMillis]. */
    fun next(
        move: MoveState,
        evidence: RampEvidence,
        nowMillis: Long,
    ): RampStep {
        val first = policy.rampPermille.first()
        if (nowMillis < move.plan.startAtMillis) return RampStep.Wait("starts at ${move.plan.startAtMillis}")
        if (move.sharePermille < first) return RampStep.Raise(first, "first calls")
        if (nowMillis - move.stageAtMillis < policy.stepMillis) return RampStep.Wait("share is too recent")
        val isPressed = nowMillis >= lastRaiseMillis(move)
        evidence.assessment.suspicion?.let { return nextOfSuspect(move, evidence, it.describe(), isPressed, nowMillis) }
        return if (move.sharePermille <= MovePolicy.UNPROVEN_PERMILLE) {
            nextOfUnproven(move, evidence, isPressed, nowMillis)
        } else {
            nextOfProven(move, evidence, isPressed, nowMillis)
        }
    }

    /** A suspicion about one domain alone delays the move but does not end it. */
    private fun nextOfSuspect(
        move: MoveState,
        evidence: RampEvidence,
        suspicion: String,
        isPressed: Boolean,
        nowMillis: Long,
    ): RampStep {
        val endsMove = evidence.assessment.isSpread && policy.priority == MovePriority.TAKE_BACK
        return when {
            !isPressed -> RampStep.Wait("is suspect: $suspicion")
            endsMove -> giveUp(move, "is suspect near the deadline: $suspicion", evidence, nowMillis)
            else -> raise(move, "deadline is near and no fault is proven; is suspect: $suspicion")
        }
    }

    private fun nextOfUnproven(
        move: MoveState,
        evidence: RampEvidence,
        isPressed: Boolean,
        nowMillis: Long,
    ): RampStep {
        val rare = evidence.routeCalls.filterValues { it < policy.provenRouteCalls }.keys
        if (evidence.calls >= policy.provenCalls &&
            rare.isEmpty()
        ) {
            return raise(move, "no fault in ${evidence.calls} calls")
        }
        if (nowMillis < provingUntilMillis(move) && !isPressed) return RampStep.Wait("has ${evidence.calls} calls")
        if (evidence.calls >= policy.minProvenCalls) {
            return raise(move, "no fault in ${evidence.calls} calls, few on routes ${rare.joinToString()}")
        }
        if (!isPressed) return RampStep.Wait("has ${evidence.calls} calls")
        val reason = "too few calls to tell before the deadline: ${evidence.calls}"
        return when (policy.priority) {
            MovePriority.TAKE_BACK -> giveUp(move, reason, evidence, nowMillis)
            MovePriority.COMPLETION -> raise(move, reason)
        }
    }

    /** A judge that took over late has missed calls, so it holds instead until it has watched for long enough. */
    private fun giveUp(
        move: MoveState,
        reason: String,
        evidence: RampEvidence,
        nowMillis: Long,
    ): RampStep {
        val span = move.plan.completeByMillis - move.plan.startAtMillis
        val isLate = nowMillis - evidence.watchesSinceMillis < span * WATCHED_SHARE
        return if (isLate) RampStep.Wait("took over late; $reason") else RampStep.GiveUp(reason)
    }

    private fun nextOfProven(
        move: MoveState,
        evidence: RampEvidence,
        isPressed: Boolean,
        nowMillis: Long,
    ): RampStep {
        val timePerStep = (deadlineMillis(move) - move.stageAtMillis) / (stepsAbove(move.sharePermille) + 1)
        return when {
            evidence.stepCalls >= policy.stepCalls -> {
                raise(
                    move,
                    "no fault in ${evidence.stepCalls} calls at this share",
                )
            }

            isPressed -> {
                raise(move, "no fault and the deadline is near")
            }

            nowMillis - move.stageAtMillis >= timePerStep -> {
                raise(move, "no fault in the time planned for this share")
            }

            else -> {
                RampStep.Wait("has ${evidence.stepCalls} calls at this share")
            }
        }
    }

    private fun raise(
        move: MoveState,
        reason: String,
    ): RampStep.Raise {
        val next = policy.rampPermille.firstOrNull { it > move.sharePermille } ?: FULL_SHARE_PERMILLE
        return RampStep.Raise(next, reason)
    }

    private fun stepsAbove(sharePermille: Int) = policy.rampPermille.count { it > sharePermille }

    /** Returns the latest time of the next raise from which the full share is still reached before the deadline. */
    private fun lastRaiseMillis(move: MoveState) =
        deadlineMillis(move) - stepsAbove(move.sharePermille) * policy.stepMillis

    private fun deadlineMillis(move: MoveState): Long {
        val span = move.plan.completeByMillis - move.plan.startAtMillis
        return move.plan.completeByMillis - (span * policy.marginShare).toLong()
    }

    private fun provingUntilMillis(move: MoveState): Long {
        val span = move.plan.completeByMillis - move.plan.startAtMillis
        return move.plan.startAtMillis + (span * policy.provingShare).toLong()
    }

    private companion object {
        /** Part of the time to the deadline that a judge must have watched before it ends a move for lack of evidence. */
        const val WATCHED_SHARE = 0.5
    }
}
