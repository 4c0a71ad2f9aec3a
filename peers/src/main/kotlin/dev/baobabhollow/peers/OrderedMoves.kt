package dev.baobabhollow.peers

import dev.baobabhollow.model.ConfigurationState
import dev.baobabhollow.model.MoveEvidence
import dev.baobabhollow.model.MoveId
import dev.baobabhollow.model.MoveOrder
import dev.baobabhollow.model.MovePhase
import dev.baobabhollow.model.MovePlan
import dev.baobabhollow.model.MoveStageRecord
import dev.baobabhollow.model.MoveState
import dev.baobabhollow.model.OTHER_RELEASES
import dev.baobabhollow.model.OrderedStage
import dev.baobabhollow.model.ServiceId
import dev.baobabhollow.model.orderPosition

/**
 * Keeps the stages of moves that operators start by an order instead of a patch. Nodes exchange the stages by gossip;
 * those that must be durable are also in the platform log, outside the configuration stream. Confined to the control
 * thread.
 *
 * Of two stages of a move a final one wins, then the higher one, so nodes converge whatever the order of arrival.
 *
 * An order that is read in a later era of the log continues the newest move of its service from earlier eras if that is
 * to the same release: the log has lost the order, and the operator has written it again. The move keeps its identifier.
 */
internal class OrderedMoves(
    private val clock: () -> Long,
) {
    private val moves = LinkedHashMap<MoveId, MoveState>()

    /** Identifiers of orders that continue a move of an earlier era, with that of the move. */
    private val continuedMoves = HashMap<MoveId, MoveId>()
    private var current: Set<MoveId> = emptySet()
    private var merged: ConfigurationState? = null
    private var mergedFrom: ConfigurationState? = null
    private var nextStageIndex = 0

    /** Returns [state] with the ordered moves added to its moves. Returns the same instance until something changes. */
    fun mergeInto(state: ConfigurationState): ConfigurationState {
        val known = merged
        if (known != null && mergedFrom === state) return known
        addOrders(state.orders)
        // A newer order for a service replaces the previous one.
        val ordered = current.associateWith(moves::getValue)
        val orders =
            if (continuedMoves.isEmpty()) {
                state.orders
            } else {
                state.orders.mapValues {
                    withContinuedMove(
                        it.value,
                    )
                }
            }
        val result = if (ordered.isEmpty()) state else state.copy(moves = state.moves + ordered, orders = orders)
        mergedFrom = state
        merged = result
        return result
    }

    /** Returns the identifier of the move that the order [move] continues, or [move] itself. */
    fun continuedMove(move: MoveId): MoveId = continuedMoves[move] ?: move

    private fun withContinuedMove(order: MoveOrder) = order.copy(move = continuedMove(order.move))

    /**
     * Returns the stages of current moves that a log which holds only [stored] has lost. Final stages known here were
     * stored before they took effect.
     */
    fun lostStages(stored: List<OrderedStage>): List<OrderedStage> {
        val storedByMove = stored.associateBy { continuedMove(it.move) }
        return current
            .map { stageOf(it, moves.getValue(it)) }
            .filter { it.stage > 0 }
            .filter { stage -> storedByMove[stage.move]?.let { stage.phase.isFinal && !it.phase.isFinal } ?: true }
    }

    /** Applies [record] and returns the new stage, or returns null if it does not follow the current stage. */
    fun apply(record: MoveStageRecord): OrderedStage? {
        val before = moves[record.move] ?: return null
        if (before.phase.isFinal || before.stage != record.follows) return null
        val next = nextState(before, record)
        put(record.move, next)
        return stageOf(record.move, next)
    }

    /**
     * Adopts [stage], read from the log, if it supersedes the known one, and returns true if it did. Its times are
     * readings of another node's clock, so they are used only for a move that is not known here.
     */
    fun merge(stage: OrderedStage): Boolean {
        val plan = moves[continuedMove(stage.move)]?.plan ?: planOf(stage, minOf(0, clock() - stage.startedAtMillis))
        return adopt(stage, plan)
    }

    /**
     * Adopts [stage], which another node sent when its clock read [sentAtMillis], if it supersedes the known one, and
     * returns true if it did. The times are converted to this node's clock, because clocks may differ by seconds. The
     * earlier start is the better one, since each node counts from the time at which it learned of the order.
     */
    fun merge(
        stage: OrderedStage,
        sentAtMillis: Long,
    ): Boolean {
        val known = moves[continuedMove(stage.move)]?.plan
        val received = planOf(stage, clock() - sentAtMillis)
        return adopt(stage, if (known != null && known.startAtMillis <= received.startAtMillis) known else received)
    }

    private fun planOf(
        stage: OrderedStage,
        shiftMillis: Long,
    ): MovePlan {
        val end = stage.completeByMillis + shiftMillis
        return MovePlan(stage.service, OTHER_RELEASES, stage.to, stage.startedAtMillis + shiftMillis, end, end)
    }

    private fun adopt(
        stage: OrderedStage,
        plan: MovePlan,
    ): Boolean {
        val id = continuedMove(stage.move)
        val before = moves[id]
        if (before != null && !supersedes(stage, before)) return false
        val next =
            MoveState(
                plan = plan,
                startedBy = OPERATOR,
                stage = stage.stage,
                phase = stage.phase,
                sharePermille = stage.sharePermille,
                reason = stage.reason,
                evidence = before?.evidence ?: MoveEvidence.NONE,
                stageAtMillis = clock(),
                fullShareAtMillis = if (stage.phase == MovePhase.WATCHING) clock() else before?.fullShareAtMillis,
            )
        put(id, next)
        return true
    }

    /** Returns stages to piggyback on the next datagram, round-robin. Leaves out moves without a decided stage. */
    fun stagesToRepeat(): List<OrderedStage> {
        val decided = moves.filterValues { it.stage > 0 }.map { (id, move) -> stageOf(id, move) }
        if (decided.isEmpty()) return emptyList()
        nextStageIndex = (nextStageIndex + 1) % decided.size
        return List(minOf(STAGES_PER_DATAGRAM, decided.size)) { decided[(nextStageIndex + it) % decided.size] }
    }

    /** Returns the stage that [record] proposes, or null if its move is not an ordered one. */
    fun proposed(record: MoveStageRecord): OrderedStage? =
        moves[record.move]?.let { stageOf(record.move, nextState(it, record)) }

    private fun nextState(
        move: MoveState,
        record: MoveStageRecord,
    ) = move.copy(
        stage = record.follows + 1,
        phase = record.phase,
        sharePermille = record.sharePermille,
        reason = record.reason,
        evidence = record.evidence,
        stageAtMillis = clock(),
        fullShareAtMillis = if (record.phase == MovePhase.WATCHING) clock() else move.fullShareAtMillis,
    )

    private fun addOrders(orders: Map<ServiceId, MoveOrder>) {
        orders.forEach { (service, order) ->
            if (order.move !in continuedMoves) findContinuedMove(service, order)?.let { continueMove(order.move, it) }
            val id = continuedMove(order.move)
            if (id !in moves) put(id, newMove(service, order))
        }
        current = orders.values.mapTo(LinkedHashSet()) { continuedMove(it.move) }
        if (moves.size > current.size + MAX_OLD_MOVES) moves.keys.removeIf { it !in current }
        continuedMoves.values.removeIf { it !in moves }
    }

    /** Returns the newest move of [service] from earlier eras than [order], if that is to the same release. */
    private fun findContinuedMove(
        service: ServiceId,
        order: MoveOrder,
    ): MoveId? {
        val era = order.move.orderPosition?.era ?: return null
        return moves.entries
            .filter { (id, move) -> move.plan.service == service && (id.orderPosition?.era ?: era) < era }
            .maxByOrNull { (id, _) -> id.orderPosition ?: return null }
            ?.takeIf { it.value.plan.to == order.release && it.key !in continuedMoves.values }
            ?.key
    }

    /** Continues [move] under the order [order], with the stage that was reached under the identifier of the order. */
    private fun continueMove(
        order: MoveId,
        move: MoveId,
    ) {
        continuedMoves[order] = move
        val reached = moves.remove(order) ?: return
        val before = moves.getValue(move)
        if (supersedes(stageOf(move, reached), before)) put(move, reached.copy(plan = before.plan))
    }

    private fun newMove(
        service: ServiceId,
        order: MoveOrder,
    ): MoveState {
        val now = clock()
        val end = now + order.durationMillis
        val plan = MovePlan(service, OTHER_RELEASES, order.release, now, end, end)
        return MoveState(plan, startedBy = OPERATOR, stageAtMillis = now)
    }

    private fun put(
        id: MoveId,
        move: MoveState,
    ) {
        moves[id] = move
        merged = null
    }

    private fun supersedes(
        stage: OrderedStage,
        known: MoveState,
    ): Boolean {
        if (known.phase.isFinal) return false
        return stage.phase.isFinal || stage.stage > known.stage
    }

    private fun stageOf(
        id: MoveId,
        move: MoveState,
    ) = OrderedStage(
        move = id,
        service = move.plan.service,
        to = move.plan.to,
        stage = move.stage,
        phase = move.phase,
        sharePermille = move.sharePermille,
        startedAtMillis = move.plan.startAtMillis,
        completeByMillis = move.plan.completeByMillis,
        reason = move.reason.take(MAX_REASON_LENGTH),
    )

    private companion object {
        const val OPERATOR = "operator"

        /** Two stages of about 150 bytes each fit into a datagram together with a membership message. */
        const val STAGES_PER_DATAGRAM = 2
        const val MAX_REASON_LENGTH = 60

        /** Stages of replaced orders can still arrive. A few are kept so that they aren't spread again as new. */
        const val MAX_OLD_MOVES = 16
    }
}
