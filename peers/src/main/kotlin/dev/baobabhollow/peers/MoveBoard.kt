package dev.baobabhollow.peers

import dev.baobabhollow.membership.FleetView
import dev.baobabhollow.model.ConfigurationState
import dev.baobabhollow.model.FULL_SHARE_PERMILLE
import dev.baobabhollow.model.LogRecord
import dev.baobabhollow.model.MoveEvidence
import dev.baobabhollow.model.MoveId
import dev.baobabhollow.model.MovePhase
import dev.baobabhollow.model.MoveStageRecord
import dev.baobabhollow.model.MoveState
import dev.baobabhollow.model.NodeId
import dev.baobabhollow.model.NodeRecord
import dev.baobabhollow.model.OTHER_RELEASES
import dev.baobabhollow.model.OutcomeSummary
import dev.baobabhollow.moves.MoveDecision
import dev.baobabhollow.moves.MoveJudge

/**
 * Decides on running moves where this node is the lead or its substitute, and holds the moves that some node wants taken
 * back until the log has the final word. Any node may retreat, only the leads advance. Belongs to the control thread.
 */
internal class MoveBoard(
    private val self: NodeRecord,
    private val settings: ControlPlaneSettings,
    private val clock: () -> Long,
    private val judgeFor: (MoveId, MoveState) -> MoveJudge,
    private val append: (MoveStageRecord) -> Boolean,
    private val spread: (MoveAlert) -> Unit,
) {
    private class Held(
        val alert: MoveAlert,
        val sinceMillis: Long,
        val evidence: MoveEvidence,
    )

    private class Proposal(
        val record: MoveStageRecord,
        var offset: Long = Long.MAX_VALUE,
    )

    private class Wish(
        val stage: Int,
        val sinceMillis: Long,
    )

    private val judges = HashMap<MoveId, MoveJudge>()
    private val heldMoves = LinkedHashMap<MoveId, Held>()
    private val proposals = HashMap<MoveId, Proposal>()
    private val wishes = HashMap<MoveId, Wish>()
    private val localUntilMillis = HashMap<MoveId, Long>()
    private var nextDecisionMillis = 0L
    private var alertTurn = 0

    /** Moves whose new releases get no calls from this node. */
    var held: Set<MoveId> = emptySet()
        private set

    /** Takes in outcomes from this node or another one. */
    fun observe(
        summary: OutcomeSummary,
        state: ConfigurationState,
    ) {
        val (id, move) = runningMoveOf(summary, state) ?: return
        judge(id, move).observe(summary)
    }

    /** Lets this node retreat by its own judgement for a while, because nodes around it cannot reach the leads. */
    fun judgeLocally(
        move: MoveId,
        nowMillis: Long,
    ) {
        localUntilMillis[move] = nowMillis + settings.leadDelayMillis
    }

    /** Holds the move of [alert] and spreads the alert when it is new. */
    fun takeAlert(
        alert: MoveAlert,
        state: ConfigurationState,
        nowMillis: Long,
        evidence: MoveEvidence = MoveEvidence.NONE,
    ) {
        val move = state.moves[alert.move]
        if (alert.move in heldMoves || move?.phase?.isFinal == true || heldMoves.size >= MAX_HELD) return
        heldMoves[alert.move] = Held(alert, nowMillis, evidence)
        held = heldMoves.keys.toSet()
        spread(alert)
    }

    /** Returns alerts that ride along with a datagram, all in turn. */
    fun alertsToRepeat(): List<MoveAlert> {
        if (heldMoves.isEmpty()) return emptyList()
        alertTurn = (alertTurn + 1) % heldMoves.size
        val all = heldMoves.values.map { it.alert }
        return List(minOf(ALERTS_PER_DATAGRAM, all.size)) { all[(alertTurn + it) % all.size] }
    }

    fun tick(
        state: ConfigurationState,
        view: FleetView,
        nowMillis: Long,
    ) {
        dropFinished(state, nowMillis)
        if (nowMillis < nextDecisionMillis) return
        nextDecisionMillis = nowMillis + settings.moveDecisionMillis
        state.moves.filterValues { !it.phase.isFinal }.forEach { (id, move) ->
            val rank = rankLeads(id, view).indexOfFirst { it.node == self.node }
            if (id !in heldMoves) decide(id, move, rank, state, nowMillis)
            heldMoves[id]?.let { proposeTakeBack(id, move, it, rank, nowMillis) }
        }
    }

    /** Allows another proposal at the same stage once the one before is known to have failed. */
    fun takeAppendResult(
        record: LogRecord,
        offset: Long?,
    ) {
        val body = record.body as? MoveStageRecord ?: return
        val proposal = proposals[body.move]?.takeIf { it.record == body } ?: return
        if (offset == null) proposals -= body.move else proposal.offset = offset
    }

    /** Tells whether the stage that [record] proposes can still come next. */
    fun isWanted(
        record: MoveStageRecord,
        state: ConfigurationState,
        held: Set<MoveId>,
    ): Boolean {
        val move = state.moves[record.move] ?: return false
        if (record.phase != MovePhase.TAKEN_BACK && record.move in held) return false
        return move.stage == record.follows && !move.phase.isFinal
    }

    private fun decide(
        id: MoveId,
        move: MoveState,
        rank: Int,
        state: ConfigurationState,
        nowMillis: Long,
    ) {
        val isLocal = (localUntilMillis[id] ?: 0) > nowMillis
        if (rank < 0 && !isLocal) return
        when (val decision = judge(id, move).decide(move, clock())) {
            is MoveDecision.Hold -> {
                wishes -= id
            }

            is MoveDecision.TakeBack -> {
                val reason = decision.reason.take(MAX_REASON_LENGTH)
                takeAlert(MoveAlert(id, move.stage, self.node, reason), state, nowMillis, decision.evidence)
            }

            is MoveDecision.Advance -> {
                val share = decision.sharePermille
                val phase = if (share >= FULL_SHARE_PERMILLE) MovePhase.WATCHING else MovePhase.RAMPING
                val record = MoveStageRecord(id, move.stage, phase, share, decision.reason, decision.evidence)
                proposeInTurn(record, rank, nowMillis)
            }

            is MoveDecision.Finish -> {
                val done = MovePhase.DONE
                val share = FULL_SHARE_PERMILLE
                val record = MoveStageRecord(id, move.stage, done, share, decision.reason, decision.evidence)
                proposeInTurn(record, rank, nowMillis)
            }
        }
    }

    /** Proposes [record] at once as the lead, and as the substitute only if the lead has left the stage standing. */
    private fun proposeInTurn(
        record: MoveStageRecord,
        rank: Int,
        nowMillis: Long,
    ) {
        if (rank < 0) return
        val wish = wishes[record.move]?.takeIf { it.stage == record.follows } ?: Wish(record.follows, nowMillis)
        wishes[record.move] = wish
        if (nowMillis - wish.sinceMillis >= rank * settings.leadDelayMillis) propose(record)
    }

    private fun proposeTakeBack(
        id: MoveId,
        move: MoveState,
        held: Held,
        rank: Int,
        nowMillis: Long,
    ) {
        val isOrigin = held.alert.origin == self.node
        if (rank < 0 && !isOrigin) return
        val turn = if (rank < 0) LAST_TURN else rank
        if (nowMillis - held.sinceMillis < turn * settings.leadDelayMillis) return
        val reason = "${held.alert.reason} (decided by ${held.alert.origin})"
        propose(MoveStageRecord(id, move.stage, MovePhase.TAKEN_BACK, 0, reason, held.evidence))
    }

    private fun propose(record: MoveStageRecord) {
        val pending = proposals[record.move]?.record
        val isPending = pending?.follows == record.follows && pending.phase == record.phase
        if (isPending) return
        if (append(record)) proposals[record.move] = Proposal(record)
    }

    private fun judge(
        id: MoveId,
        move: MoveState,
    ) = judges.getOrPut(id) { judgeFor(id, move) }

    private fun dropFinished(
        state: ConfigurationState,
        nowMillis: Long,
    ) {
        val isRunning = { id: MoveId -> state.moves[id]?.phase?.isFinal == false }
        judges.keys.removeIf { !isRunning(it) }
        wishes.keys.removeIf { !isRunning(it) }
        localUntilMillis.keys.removeIf { !isRunning(it) }
        proposals.entries.removeIf { (id, proposal) -> !isRunning(id) || isSettled(proposal, state) }
        heldMoves.entries.removeIf { (id, hold) -> isOver(id, hold, state, nowMillis) }
        if (heldMoves.size != held.size) held = heldMoves.keys.toSet()
    }

    /** A proposal is settled by another stage, or by its own record when the fold has dropped it. */
    private fun isSettled(
        proposal: Proposal,
        state: ConfigurationState,
    ): Boolean = state.moves[proposal.record.move]?.stage != proposal.record.follows || state.offset >= proposal.offset

    /** A held move that this node never hears of would otherwise be kept for ever. */
    private fun isOver(
        id: MoveId,
        hold: Held,
        state: ConfigurationState,
        nowMillis: Long,
    ): Boolean {
        val move = state.moves[id] ?: return nowMillis - hold.sinceMillis > UNKNOWN_MOVE_MILLIS
        return move.phase.isFinal
    }

    companion object {
        private const val MAX_HELD = 512
        private const val ALERTS_PER_DATAGRAM = 2
        private const val MAX_REASON_LENGTH = 60
        private const val LAST_TURN = 2
        private const val UNKNOWN_MOVE_MILLIS = 600_000L

        /** Returns the running move whose old or new release [summary] counts. */
        fun runningMoveOf(
            summary: OutcomeSummary,
            state: ConfigurationState,
        ): Pair<MoveId, MoveState>? =
            state.moves.entries
                .firstOrNull { (_, move) ->
                    val plan = move.plan
                    val isOrdered = plan.from == OTHER_RELEASES
                    val isRelease = isOrdered || summary.release == plan.from || summary.release == plan.to
                    !move.phase.isFinal && plan.service == summary.service && isRelease
                }?.toPair()
    }
}
