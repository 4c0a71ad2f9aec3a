package dev.baobabhollow.moves

import dev.baobabhollow.model.FULL_SHARE_PERMILLE
import dev.baobabhollow.model.MovePriority
import dev.baobabhollow.model.MoveState
import dev.baobabhollow.model.RouteId

/**
 * Observations of the new release so far. [stepCalls] counts its calls at the current share, [timedCalls] those after
 * warm-up. [judgingSinceMillis] is the time at which this judge took on the move.
 */
internal data class RampEvidence(
    val calls: Long,
    val stepCalls: Long,
    val timedCalls: Long,
    val routeCalls: Map<RouteId, Long>,
    val assessment: Assessment,
    val judgingSinceMillis: Long,
)

/** Next step of a ramp. */
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

/** Decides on the share of a release without a proven fault, from its calls and the time to the deadline. */
internal class Ramp(
    private val policy: MovePolicy,
) {
    /** Returns the next step of [move], which must be in its ramp, at [nowMillis]. */
    fun next(
        move: MoveState,
        evidence: RampEvidence,
        nowMillis: Long,
    ): RampStep {
        val first = policy.rampPermille.first()
        if (nowMillis < move.plan.startAtMillis) return RampStep.Wait("starts at ${move.plan.startAtMillis}")
        if (move.sharePermille < first) return RampStep.Raise(first, "first calls")
        if (nowMillis - move.stageAtMillis < policy.stepMillis) return RampStep.Wait("share is too recent")
        val isDeadlineNear = nowMillis >= lastRaiseMillis(move)
        evidence.assessment.suspicion?.let {
            return nextOfSuspect(move, evidence, it.describe(), isDeadlineNear, nowMillis)
        }
        return if (move.sharePermille <= MovePolicy.UNPROVEN_PERMILLE) {
            nextOfUnproven(move, evidence, isDeadlineNear, nowMillis)
        } else {
            nextOfProven(move, evidence, isDeadlineNear, nowMillis)
        }
    }

    /** A suspicion that stems from a single domain delays the move but does not end it. */
    private fun nextOfSuspect(
        move: MoveState,
        evidence: RampEvidence,
        suspicion: String,
        isDeadlineNear: Boolean,
        nowMillis: Long,
    ): RampStep {
        val endsMove = evidence.assessment.isSpread && policy.priority == MovePriority.TAKE_BACK
        return when {
            !isDeadlineNear -> RampStep.Wait("is suspect: $suspicion")
            endsMove -> giveUp(move, "is suspect near the deadline: $suspicion", evidence, nowMillis)
            else -> raise(move, "deadline is near and no fault is proven; is suspect: $suspicion")
        }
    }

    private fun nextOfUnproven(
        move: MoveState,
        evidence: RampEvidence,
        isDeadlineNear: Boolean,
        nowMillis: Long,
    ): RampStep {
        val routesWithFewCalls = evidence.routeCalls.filterValues { it < policy.provenRouteCalls }.keys
        if (evidence.calls >= policy.provenCalls &&
            routesWithFewCalls.isEmpty()
        ) {
            return raise(move, "no fault in ${evidence.calls} calls")
        }
        if (nowMillis < provingUntilMillis(move) && !isDeadlineNear) return RampStep.Wait("has ${evidence.calls} calls")
        if (evidence.calls >= policy.minProvenCalls) {
            return raise(
                move,
                "no fault in ${evidence.calls} calls, few on routes ${routesWithFewCalls.joinToString()}",
            )
        }
        if (!isDeadlineNear) return RampStep.Wait("has ${evidence.calls} calls")
        val reason = "too few calls to tell before the deadline: ${evidence.calls}"
        return when (policy.priority) {
            MovePriority.TAKE_BACK -> giveUp(move, reason, evidence, nowMillis)
            MovePriority.COMPLETION -> raise(move, reason)
        }
    }

    /** A judge that took over late has missed calls, so it holds until it has judged the move for long enough. */
    private fun giveUp(
        move: MoveState,
        reason: String,
        evidence: RampEvidence,
        nowMillis: Long,
    ): RampStep {
        val span = move.plan.completeByMillis - move.plan.startAtMillis
        val tookOverLate = nowMillis - evidence.judgingSinceMillis < span * MIN_JUDGED_SHARE
        return if (tookOverLate) RampStep.Wait("took over late; $reason") else RampStep.GiveUp(reason)
    }

    private fun nextOfProven(
        move: MoveState,
        evidence: RampEvidence,
        isDeadlineNear: Boolean,
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

            isDeadlineNear -> {
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

    /** Returns the latest time of the next raise after which the full share is still reached before the deadline. */
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
        /** Part of the time to the deadline for which a judge must have judged a move before it gives up. */
        const val MIN_JUDGED_SHARE = 0.5
    }
}
