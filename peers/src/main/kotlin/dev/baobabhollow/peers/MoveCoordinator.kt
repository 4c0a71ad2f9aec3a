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
import dev.baobabhollow.moves.TakeoverGuard
import org.apache.logging.log4j.LogManager

/**
 * Decides on running moves where this node is the lead or its substitute. Holds each move that some node has decided to
 * take back until the log holds its final stage: while a move is held, its new release gets no calls. Any node may take
 * a move back, only the leads advance it. Confined to the control thread.
 */
internal class MoveCoordinator(
    private val self: NodeRecord,
    private val settings: ControlPlaneSettings,
    private val clock: () -> Long,
    private val judgeFor: (MoveId, MoveState) -> MoveJudge,
    private val append: (MoveStageRecord) -> Boolean,
    private val spread: (MoveAlert) -> Unit,
) {
    private class HeldMove(
        val alert: MoveAlert,
        val sinceMillis: Long,
        val evidence: MoveEvidence,
    )

    private class Proposal(
        val record: MoveStageRecord,
        var offset: Long = Long.MAX_VALUE,
    )

    private class WantedStage(
        val stage: Int,
        val sinceMillis: Long,
    )

    private val judges = HashMap<MoveId, MoveJudge>()
    private val guards = HashMap<MoveId, TakeoverGuard>()

    /** Reasons for which guards delay moves, as last logged. */
    private val delays = HashMap<MoveId, String>()
    private val heldMoves = LinkedHashMap<MoveId, HeldMove>()
    private val proposals = HashMap<MoveId, Proposal>()
    private val wantedStages = HashMap<MoveId, WantedStage>()
    private val localJudgementUntilMillis = HashMap<MoveId, Long>()
    private var nextDecisionMillis = 0L
    private var lastTickMillis: Long? = null

    /** Time until which this node raises no share, after a pause. */
    private var raisesFromMillis = 0L
    private var nextAlertIndex = 0

    /** Moves whose new releases get no calls from this node. */
    var held: Set<MoveId> = emptySet()
        private set

    /** Moves that are done by this node's latest decision. Read by any thread. */
    @Volatile
    private var finishing: Set<MoveId> = emptySet()

    /** Adds outcomes from this node or another one to the evidence. */
    fun observe(
        summary: OutcomeSummary,
        state: ConfigurationState,
    ) {
        val (id, move) = runningMoveOf(summary, state) ?: return
        judge(id, move).observe(summary)
        guard(id).observe(summary, move)
    }

    /** Allows this node to take [move] back by its own judgement for a while, as its domain can't reach the leads. */
    fun judgeLocally(
        move: MoveId,
        nowMillis: Long,
    ) {
        localJudgementUntilMillis[move] = nowMillis + settings.leadDelayMillis
    }

    /** Holds the move of [alert] and spreads the alert if it is new. */
    fun handleAlert(
        alert: MoveAlert,
        state: ConfigurationState,
        nowMillis: Long,
        evidence: MoveEvidence = MoveEvidence.NONE,
    ) {
        val move = state.moves[alert.move]
        if (alert.move in heldMoves || move?.phase?.isFinal == true || heldMoves.size >= MAX_HELD_MOVES) return
        heldMoves[alert.move] = HeldMove(alert, nowMillis, evidence)
        held = heldMoves.keys.toSet()
        spread(alert)
    }

    /** Returns alerts to piggyback on the next datagram, round-robin. */
    fun alertsToRepeat(): List<MoveAlert> {
        if (heldMoves.isEmpty()) return emptyList()
        nextAlertIndex = (nextAlertIndex + 1) % heldMoves.size
        val all = heldMoves.values.map { it.alert }
        return List(minOf(ALERTS_PER_DATAGRAM, all.size)) { all[(nextAlertIndex + it) % all.size] }
    }

    fun tick(
        state: ConfigurationState,
        view: FleetView,
        nowMillis: Long,
    ) {
        dropFinished(state, nowMillis)
        deferAfterPause(nowMillis)
        if (nowMillis < nextDecisionMillis) return
        nextDecisionMillis = nowMillis + settings.moveDecisionMillis
        state.moves.filterValues { !it.phase.isFinal }.forEach { (id, move) ->
            val rank = rankLeads(id, view).indexOfFirst { it.node == self.node }
            val decision = if (id in heldMoves) null else decide(id, move, rank, state, view, nowMillis)
            if (decision is MoveDecision.Finish && rank >= 0) finishing += id else finishing -= id
            decision?.let { apply(it, id, move, rank, state, nowMillis) }
            heldMoves[id]?.let { proposeTakeBack(id, move, it, rank, nowMillis) }
        }
    }

    /**
     * After a pause in which a substitute may have become the lead, this node raises no share until it can have
     * received the stages that were decided meanwhile. It may still take a release back.
     */
    private fun deferAfterPause(nowMillis: Long) {
        val pausedMillis = nowMillis - (lastTickMillis ?: nowMillis)
        lastTickMillis = nowMillis
        if (pausedMillis < settings.leadDelayMillis) return
        raisesFromMillis = nowMillis + settings.leadDelayMillis
        LOG.info("event=move_stages_deferred paused_ms={} for_ms={}", pausedMillis, settings.leadDelayMillis)
    }

    /** Stores the offset of an appended proposal, or drops a failed one so that its stage can be proposed again. */
    fun handleAppendResult(
        record: LogRecord,
        offset: Long?,
    ) {
        val body = record.body as? MoveStageRecord ?: return
        val proposal = proposals[body.move]?.takeIf { it.record == body } ?: return
        if (offset == null) proposals -= body.move else proposal.offset = offset
    }

    /** Returns true if the stage that [record] proposes can still come next. */
    fun isWanted(
        record: MoveStageRecord,
        state: ConfigurationState,
        held: Set<MoveId>,
    ): Boolean {
        val move = state.moves[record.move] ?: return false
        if (record.phase != MovePhase.TAKEN_BACK && record.move in held) return false
        return move.stage == record.follows && !isObsolete(record, state)
    }

    /**
     * Returns true if the stage that [record] proposes must not be stored any more. While it waited for the log, the move
     * may have ended, or the new release may have failed.
     */
    fun isObsolete(
        record: MoveStageRecord,
        state: ConfigurationState,
    ): Boolean {
        val isOver = state.moves[record.move]?.phase?.isFinal ?: true
        return isOver || (record.phase == MovePhase.DONE && record.move !in finishing)
    }

    /** Returns the decision on [move], or null if this node does not decide on it. */
    private fun decide(
        id: MoveId,
        move: MoveState,
        rank: Int,
        state: ConfigurationState,
        view: FleetView,
        nowMillis: Long,
    ): MoveDecision? {
        val judgesLocally = (localJudgementUntilMillis[id] ?: 0) > nowMillis
        if (rank < 0 && !judgesLocally) return null
        val judged = judge(id, move).decide(move, clock())
        // Only leads raise shares, and a node in an isolated domain can't tell which targets serve.
        return if (rank < 0) judged else checkTakeover(judged, id, move, state, view)
    }

    private fun apply(
        decision: MoveDecision,
        id: MoveId,
        move: MoveState,
        rank: Int,
        state: ConfigurationState,
        nowMillis: Long,
    ) {
        when (decision) {
            is MoveDecision.Hold -> {
                wantedStages -= id
            }

            is MoveDecision.TakeBack -> {
                val reason = decision.reason.take(MAX_REASON_LENGTH)
                handleAlert(MoveAlert(id, move.stage, self.node, reason), state, nowMillis, decision.evidence)
            }

            is MoveDecision.Advance -> {
                val share = decision.sharePermille
                val phase = if (share >= FULL_SHARE_PERMILLE) MovePhase.WATCHING else MovePhase.RAMPING
                val record = MoveStageRecord(id, move.stage, phase, share, decision.reason, decision.evidence)
                proposeByRank(record, rank, nowMillis)
            }

            is MoveDecision.Finish -> {
                val done = MovePhase.DONE
                val share = FULL_SHARE_PERMILLE
                val record = MoveStageRecord(id, move.stage, done, share, decision.reason, decision.evidence)
                proposeByRank(record, rank, nowMillis)
            }
        }
    }

    private fun checkTakeover(
        decision: MoveDecision,
        id: MoveId,
        move: MoveState,
        state: ConfigurationState,
        view: FleetView,
    ): MoveDecision {
        val plan = move.plan
        val new = releaseSlots(plan.service, view, state.evacuatedDomains) { it.release == plan.to }
        val old = releaseSlots(plan.service, view, emptySet()) { it.release != plan.to }
        val checked = guard(id).check(decision, move, new, old, clock())
        val reason = if (checked === decision) null else checked.reason
        if (reason != delays[id]) {
            LOG.info("event=move_delayed move={} stage={} reason={}", id, move.stage, reason ?: "none any more")
            if (reason == null) delays -= id else delays[id] = reason
        }
        return checked
    }

    /** Proposes [record] at once as the lead, or after the lead delay as the substitute. */
    private fun proposeByRank(
        record: MoveStageRecord,
        rank: Int,
        nowMillis: Long,
    ) {
        if (rank < 0 || nowMillis < raisesFromMillis) return
        val stage =
            wantedStages[record.move]?.takeIf { it.stage == record.follows } ?: WantedStage(record.follows, nowMillis)
        wantedStages[record.move] = stage
        if (nowMillis - stage.sinceMillis >= rank * settings.leadDelayMillis) propose(record)
    }

    private fun proposeTakeBack(
        id: MoveId,
        move: MoveState,
        held: HeldMove,
        rank: Int,
        nowMillis: Long,
    ) {
        val isOrigin = held.alert.origin == self.node
        if (rank < 0 && !isOrigin) return
        val delayRank = if (rank < 0) ORIGIN_RANK else rank
        if (nowMillis - held.sinceMillis < delayRank * settings.leadDelayMillis) return
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

    private fun guard(id: MoveId) = guards.getOrPut(id) { TakeoverGuard() }

    private fun dropFinished(
        state: ConfigurationState,
        nowMillis: Long,
    ) {
        val isRunning = { id: MoveId -> state.moves[id]?.phase?.isFinal == false }
        val byMove = listOf(judges, guards, delays, wantedStages, localJudgementUntilMillis)
        byMove.forEach { map -> map.keys.removeIf { !isRunning(it) } }
        if (!finishing.all(isRunning)) finishing = finishing.filterTo(HashSet(), isRunning)
        proposals.entries.removeIf { (id, proposal) -> !isRunning(id) || isSettled(proposal, state) }
        heldMoves.entries.removeIf { (id, heldMove) -> isFinished(id, heldMove, state, nowMillis) }
        if (heldMoves.size != held.size) held = heldMoves.keys.toSet()
    }

    /** True if the move has another stage, or the state has passed the proposal's offset without applying it. */
    private fun isSettled(
        proposal: Proposal,
        state: ConfigurationState,
    ): Boolean = state.moves[proposal.record.move]?.stage != proposal.record.follows || state.offset >= proposal.offset

    /** A held move whose start never reaches this node expires, since it would be kept forever otherwise. */
    private fun isFinished(
        id: MoveId,
        heldMove: HeldMove,
        state: ConfigurationState,
        nowMillis: Long,
    ): Boolean {
        val move = state.moves[id] ?: return nowMillis - heldMove.sinceMillis > UNKNOWN_MOVE_EXPIRY_MILLIS
        return move.phase.isFinal
    }

    companion object {
        private val LOG = LogManager.getLogger(MoveCoordinator::class.java)
        private const val MAX_HELD_MOVES = 512
        private const val ALERTS_PER_DATAGRAM = 2
        private const val MAX_REASON_LENGTH = 60
        private const val ORIGIN_RANK = 2
        private const val UNKNOWN_MOVE_EXPIRY_MILLIS = 600_000L

        /** Returns the running move whose old or new release [summary] is about, or null if there is none. */
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
