package dev.baobabhollow.node

import dev.baobabhollow.model.ConfigurationState
import dev.baobabhollow.model.MemberId
import dev.baobabhollow.model.MoveId
import dev.baobabhollow.model.MoveState
import dev.baobabhollow.model.OTHER_RELEASES
import dev.baobabhollow.model.OutcomeSummary
import dev.baobabhollow.moves.MoveDecision
import dev.baobabhollow.moves.MoveJudge
import dev.baobabhollow.moves.moveJudge
import dev.baobabhollow.moves.shortMoveJudge

/**
 * Judges [move] by the policy of the member that owns its service. The control plane may create a judge just before it
 * publishes the state that contains the member; until then, the judge decides to hold the move.
 */
internal class MemberJudge(
    private val move: MoveId,
    private val state: () -> ConfigurationState,
    private val policies: Map<MemberId, MovePolicySettings>,
) : MoveJudge {
    private val pending = ArrayDeque<OutcomeSummary>()
    private var judge: MoveJudge? = null

    override fun observe(summary: OutcomeSummary) {
        judge?.let { return it.observe(summary) }
        pending.addLast(summary)
        if (pending.size > MAX_PENDING) pending.removeFirst()
    }

    override fun decide(
        move: MoveState,
        nowMillis: Long,
    ): MoveDecision {
        val known =
            judge ?: createJudge(move)
                ?: return MoveDecision.Hold("the member of ${move.plan.service} is not known yet")
        return known.decide(move, nowMillis)
    }

    private fun createJudge(plan: MoveState): MoveJudge? {
        if (plan.plan.from == OTHER_RELEASES) return delegateTo(shortMoveJudge())
        val mesh = state().mesh
        val member = mesh.services[plan.plan.service]?.member ?: return null
        val priority = mesh.members[member]?.movePriority ?: return null
        return delegateTo(moveJudge(move, (policies[member] ?: MovePolicySettings()).policy(priority)))
    }

    private fun delegateTo(created: MoveJudge): MoveJudge {
        pending.forEach(created::observe)
        pending.clear()
        judge = created
        return created
    }

    private companion object {
        const val MAX_PENDING = 1_024
    }
}
