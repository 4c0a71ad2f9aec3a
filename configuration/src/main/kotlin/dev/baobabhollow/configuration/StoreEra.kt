package dev.baobabhollow.configuration

import dev.baobabhollow.model.ConfigurationState
import dev.baobabhollow.model.FailureDomainId
import dev.baobabhollow.model.LogPosition
import dev.baobabhollow.model.MeshConfig
import dev.baobabhollow.model.MoveOrder
import dev.baobabhollow.model.MoveOrderRecord
import dev.baobabhollow.model.NO_OFFSET
import dev.baobabhollow.model.ReleaseId
import dev.baobabhollow.model.ServiceId
import dev.baobabhollow.model.logPosition
import dev.baobabhollow.model.orderPosition

/** Orders that a replica has held and replaced. Tells records of a copy of the log from those written after it. */
internal data class ReplacedOrders(
    private val orders: Map<ServiceId, List<MoveOrder>> = emptyMap(),
) {
    /** Returns these orders and those of [before] that [after] replaces. */
    fun with(
        before: ConfigurationState,
        after: ConfigurationState,
    ): ReplacedOrders {
        if (before.orders === after.orders) return this
        val replaced = before.orders.filter { (service, order) -> after.orders[service] != order }
        return copy(orders = orders + replaced.mapValues { (service, order) -> known(service, order) })
    }

    private fun known(
        service: ServiceId,
        order: MoveOrder,
    ) = (orders[service].orEmpty() + order).takeLast(MAX_PER_SERVICE)

    /** True if this replica has held the order of [service] to [release] at [offset]. */
    fun hasHeld(
        service: ServiceId,
        release: ReleaseId,
        offset: Long,
    ): Boolean = orders[service].orEmpty().any { it.release == release && it.move.orderPosition?.offset == offset }

    private companion object {
        /** The log loses the records of some seconds, in which a service gets one order, rarely a few. */
        const val MAX_PER_SERVICE = 8
    }
}

/**
 * Returns this state at the start of the era of [batch], its first one, before the first record. The configuration and
 * the orders are kept, because the log may have lost them although they were acknowledged.
 */
internal fun ConfigurationState.enterEra(
    batch: RecordBatch,
    replaced: ReplacedOrders,
): ConfigurationState {
    val orders =
        batch.entries.mapNotNull { entry ->
            (entry.record.body as? MoveOrderRecord)?.let { OrderInLog(it.service, it.release, entry.offset) }
        }
    val starts = eraStarts + (batch.era to batch.endOffset)
    val ownStarts = starts.withLower(era + 1, lowestNewOrder(orders, replaced))
    return copy(era = batch.era, eraStarts = ownStarts, offset = NO_OFFSET, snapshotOffset = NO_OFFSET).inOrder()
}

/**
 * Returns this state with its maps in the order of their keys. In later eras, replicas learn of the entries in different
 * orders, and the content hash depends on the order.
 */
internal fun ConfigurationState.inOrder(): ConfigurationState {
    if (era == 0L) return this
    val sortedOrders = orders.entries.sortedBy { it.key.value }.associate { it.toPair() }
    val sortedStarts = eraStarts.entries.sortedBy { it.key }.associate { it.toPair() }
    return copy(orders = sortedOrders, eraStarts = sortedStarts)
}

/**
 * Returns this state, of the same or a later position as [held], with what [held] retains of earlier eras: the
 * configuration if its version is higher, orders that this state lacks or for which it has an earlier record, and
 * evacuations at one position. Two replicas that exchange their states at one position reach the same state.
 */
internal fun ConfigurationState.withRetained(
    held: ConfigurationState,
    replaced: ReplacedOrders,
    meshHash: (MeshConfig) -> String,
): ConfigurationState {
    var starts = held.eraStarts.entries.fold(eraStarts) { known, (era, start) -> known.withLower(era, start) }
    if (era > held.era) {
        val laterOrders =
            orders.mapNotNull { (service, order) ->
                val position = order.move.orderPosition?.takeIf { it.era > held.era }
                position?.let { OrderInLog(service, order.release, it.offset) }
            }
        starts = starts.withLower(held.era + 1, held.lowestNewOrder(laterOrders, replaced))
    }
    val base = copy(eraStarts = starts, evacuatedDomains = evacuatedWith(held))
    val services = held.orders.filter { (service, order) -> base.newerOrder(service, order) == order }
    val merged = base.copy(orders = base.orders + services).inOrder()
    return if (merged.keepsMeshOf(held, meshHash)) merged.copy(version = held.version, mesh = held.mesh) else merged
}

/**
 * Replicas at one position may differ in the evacuations that they have kept from earlier eras. Both then keep all of
 * them, since an order may have been lost with the log and its end is written again.
 */
private fun ConfigurationState.evacuatedWith(held: ConfigurationState): Set<FailureDomainId> {
    if (held.logPosition != logPosition) return evacuatedDomains
    return (evacuatedDomains + held.evacuatedDomains).sortedBy { it.value }.toSet()
}

private class OrderInLog(
    val service: ServiceId,
    val release: ReleaseId,
    val offset: Long,
)

/**
 * Returns the lowest offset of those [orders] of a later era, before the held ones of their services, that this replica
 * has not held: they were written after the log returned. Null if there is none. A replica that learned of the held order
 * only as the newest one can be wrong and then returns to an order of the copy, but only until the operator has written
 * the lost order again, whereas a written order that was taken for an old one would be ignored for good.
 */
private fun ConfigurationState.lowestNewOrder(
    orders: List<OrderInLog>,
    replaced: ReplacedOrders,
): Long? =
    orders
        .filter { order ->
            val heldOffset =
                this.orders[order.service]
                    ?.move
                    ?.orderPosition
                    ?.offset
            heldOffset != null && order.offset < heldOffset &&
                !replaced.hasHeld(order.service, order.release, order.offset)
        }.minOfOrNull { it.offset }

private fun Map<Long, Long>.withLower(
    era: Long,
    start: Long?,
): Map<Long, Long> = if (start == null) this else this + (era to minOf(start, this[era] ?: start))

private fun ConfigurationState.keepsMeshOf(
    held: ConfigurationState,
    meshHash: (MeshConfig) -> String,
): Boolean {
    if (held.version != version) return held.version > version
    val isSamePosition = held.era == era && held.offset == offset
    return isSamePosition && held.mesh != mesh && meshHash(held.mesh) > meshHash(mesh)
}

/** Returns the order of [service] that was written last: the one in this state or [order]. */
internal fun ConfigurationState.newerOrder(
    service: ServiceId,
    order: MoveOrder,
): MoveOrder {
    val known = orders[service] ?: return order
    // The second criterion lets all replicas choose the same identifier for a record that they read in different eras.
    val byWriting = compareBy<MoveOrder>({ earliestPosition(it) }, { it.move.orderPosition })
    return if (byWriting.compare(known, order) > 0) known else order
}

/** Position at which [order] was written at the earliest, as a record before the start of its era may be a copied one. */
private fun ConfigurationState.earliestPosition(order: MoveOrder): LogPosition {
    val position = order.move.orderPosition ?: return LogPosition(0, NO_OFFSET)
    var era = position.era
    while (era > 0 && position.offset < (eraStarts[era] ?: Long.MAX_VALUE)) era--
    return position.copy(era = era)
}
