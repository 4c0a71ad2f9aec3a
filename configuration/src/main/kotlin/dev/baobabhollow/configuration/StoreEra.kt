package dev.baobabhollow.configuration

import dev.baobabhollow.model.ConfigurationState
import dev.baobabhollow.model.LogPosition
import dev.baobabhollow.model.MeshConfig
import dev.baobabhollow.model.MoveOrder
import dev.baobabhollow.model.NO_OFFSET
import dev.baobabhollow.model.ServiceId
import dev.baobabhollow.model.orderPosition

/**
 * Returns this state at the start of [era], before its first record. The configuration and the orders are kept, because
 * the log may have lost them although they were acknowledged. [endOffset] is the end of the log when it was first read
 * in this era.
 */
internal fun ConfigurationState.enterEra(
    era: Long,
    endOffset: Long,
): ConfigurationState = copy(era = era, eraStart = endOffset, offset = NO_OFFSET, snapshotOffset = NO_OFFSET)

/**
 * Returns this state, of the same or a later position as [held], with what [held] retains of earlier eras: the
 * configuration if its version is higher, and orders that this state lacks or for which it has an earlier record. Two
 * replicas that exchange their states at one position reach the same state.
 */
internal fun ConfigurationState.withRetained(
    held: ConfigurationState,
    meshHash: (MeshConfig) -> String,
): ConfigurationState {
    val start = if (held.era == era) minOf(eraStart, held.eraStart) else eraStart
    val base = copy(eraStart = start)
    val services = held.orders.filter { (service, order) -> base.newerOrder(service, order) == order }
    val merged = base.copy(orders = base.orders + services)
    return if (merged.keepsMeshOf(held, meshHash)) merged.copy(version = held.version, mesh = held.mesh) else merged
}

private fun ConfigurationState.keepsMeshOf(
    held: ConfigurationState,
    meshHash: (MeshConfig) -> String,
): Boolean {
    if (held.version != version) return held.version > version
    val isSamePosition = held.era == era && held.offset == offset
    return isSamePosition && held.mesh != mesh && meshHash(held.mesh) > meshHash(mesh)
}

/**
 * Returns the order of [service] that was written last: the one in this state or [order]. A record before the start of
 * the era may be an old one that was in the copy, so it does not replace an order of an earlier era with a higher
 * offset.
 */
internal fun ConfigurationState.newerOrder(
    service: ServiceId,
    order: MoveOrder,
): MoveOrder {
    val known = orders[service] ?: return order
    // The second criterion lets all replicas choose the same identifier for a record that they read in different eras.
    val byWriting = compareBy<MoveOrder>({ earliestPosition(it) }, { it.move.orderPosition })
    return if (byWriting.compare(known, order) > 0) known else order
}

/** Position at which [order] was written at the earliest: in the previous era if it may come from the copy. */
private fun ConfigurationState.earliestPosition(order: MoveOrder): LogPosition {
    val position = order.move.orderPosition ?: return LogPosition(0, NO_OFFSET)
    val isFromCopy = position.era == era && position.offset < eraStart
    return if (isFromCopy) position.copy(era = era - 1) else position
}
