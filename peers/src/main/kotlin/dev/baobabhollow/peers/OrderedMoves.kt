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

/**
 * Keeps the stages of the moves that operators order without a patch. The stages spread between nodes and, where they must
 * last, lie in the platform log outside the configuration stream. Belongs to the control thread.
 *
 * Of two stages of one move a final one wins, then the higher one, so nodes agree whatever the order of arrival.
 */
internal class OrderedMoves(
    private val clock: () -> Long,
) {
    private val moves = LinkedHashMap<MoveId, MoveState>()
    private var merged: ConfigurationState? = null
    private var mergedFrom: ConfigurationState? = null
    private var turn = 0

    /** Returns [state] with the ordered moves among its moves. The same instance as before, unless something has changed. */
    fun mergeInto(state: ConfigurationState): ConfigurationState {
        val known = merged
        if (known != null && mergedFrom === state) return known
        follow(state.orders)
        // A newer order for a service ends the one before.
        val current = state.orders.values.associate { it.move to moves.getValue(it.move) }
        val result = if (current.isEmpty()) state else state.copy(moves = state.moves + current)
        mergedFrom = state
        merged = result
        return result
    }

    /** Applies [record], or returns null if it does not follow the present stage. */
    fun apply(record: MoveStageRecord): OrderedStage? {
        val before = moves[record.move] ?: return null
        if (before.phase.isFinal || before.stage != record.follows) return null
        val next = after(before, record)
        put(record.move, next)
        return stageOf(record.move, next)
    }

    /** Takes over [stage] if it is newer than the known one, and tells whether it was. */
    fun take(stage: OrderedStage): Boolean {
        val before = moves[stage.move]
        if (before != null && !supersedes(stage, before)) return false
        val plan =
            MovePlan(
                stage.service,
                OTHER_RELEASES,
                stage.to,
                stage.startedAtMillis,
                stage.completeByMillis,
                stage.completeByMillis,
            )
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
        put(stage.move, next)
        return true
    }

    /** Returns stages that ride along with a datagram, all in turn. Moves that nobody has decided on are left out. */
    fun stagesToRepeat(): List<OrderedStage> {
        val decided = moves.filterValues { it.stage > 0 }.map { (id, move) -> stageOf(id, move) }
        if (decided.isEmpty()) return emptyList()
        turn = (turn + 1) % decided.size
        return List(minOf(STAGES_PER_DATAGRAM, decided.size)) { decided[(turn + it) % decided.size] }
    }

    /** Returns the stage that [record] proposes, for the log, or null if its move is not an ordered one. */
    fun proposed(record: MoveStageRecord): OrderedStage? =
        moves[record.move]?.let { stageOf(record.move, after(it, record)) }

    private fun after(
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

    private fun follow(orders: Map<ServiceId, MoveOrder>) {
        orders.forEach { (service, order) ->
            if (order.move !in moves) put(order.move, newMove(service, order))
        }
        val current = orders.values.mapTo(HashSet()) { it.move }
        if (moves.size > current.size + MAX_OLD_MOVES) moves.keys.removeIf { it !in current }
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

        /** Two stages of about 150 bytes each fit beside a membership message. */
        const val STAGES_PER_DATAGRAM = 2
        const val MAX_REASON_LENGTH = 60

        /** Stages of replaced orders can still arrive; a few are kept so that they do not come back as news. */
        const val MAX_OLD_MOVES = 16
    }
}
