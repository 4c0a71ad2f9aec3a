package dev.baobabhollow.membership

import dev.baobabhollow.model.NodeId
import dev.baobabhollow.model.NodeRecord
import dev.baobabhollow.model.NodeStatus

/**
 * Records to piggyback on messages, each a limited number of times. Failures and departures go first, so that a burst
 * of joining nodes does not delay them; then those that were sent least often.
 */
internal class UpdateQueue(
    private val settings: MembershipSettings,
) {
    private class QueuedUpdate(
        val record: CompactRecord,
        var sent: Int = 0,
    )

    private val items = LinkedHashMap<NodeId, QueuedUpdate>()

    /** Adds [record] and removes any queued record of the same node. */
    fun add(record: NodeRecord) {
        items -= record.node
        items[record.node] = QueuedUpdate(CompactRecord.of(record))
        if (items.size > MAX_ITEMS) items -= items.entries.maxBy { it.value.sent }.key
    }

    /** Returns updates of at most [maxBytes], beginning with [first], for a domain of [nodes] nodes. */
    fun take(
        maxBytes: Int,
        nodes: Int,
        first: NodeRecord? = null,
    ): List<CompactRecord> {
        val taken = mutableListOf<CompactRecord>()
        var bytesLeft = maxBytes
        var alive = 0
        if (first != null) CompactRecord.of(first).also { bytesLeft -= it.maxBytes }.let(taken::add)
        if (items.isEmpty()) return taken
        val limit = settings.retransmissionFactor * binaryLog(nodes + 1)
        for (item in items.values.sortedWith(SEND_ORDER)) {
            if (item.record.node == first?.node) continue
            if (item.record.maxBytes > bytesLeft) continue
            if (item.record.status == NodeStatus.ALIVE && alive++ >= MAX_ALIVE) continue
            bytesLeft -= item.record.maxBytes
            taken += item.record
            item.sent++
        }
        items.values.removeIf { it.sent >= limit }
        return taken
    }

    private fun binaryLog(value: Int): Int = Int.SIZE_BITS - Integer.numberOfLeadingZeros(value.coerceAtLeast(1))

    private companion object {
        const val MAX_ITEMS = 4_096

        /** Keeps gossip below 3 KB/s after a mass restart, when every node has thousands of records to pass on. */
        const val MAX_ALIVE = 2
        val SEND_ORDER = compareBy<QueuedUpdate>({ it.record.status == NodeStatus.ALIVE }, { it.sent })
    }
}
