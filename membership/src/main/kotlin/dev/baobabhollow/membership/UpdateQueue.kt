package dev.baobabhollow.membership

import dev.baobabhollow.model.NodeId
import dev.baobabhollow.model.NodeRecord
import dev.baobabhollow.model.NodeStatus

/**
 * Holds the records that ride along with messages, each for a limited number of times. Failures and departures go first,
 * so that a flood of joining nodes does not delay them, and then the least sent.
 */
internal class UpdateQueue(
    private val settings: MembershipSettings,
) {
    private class Item(
        val record: CompactRecord,
        var sent: Int = 0,
    )

    private val items = LinkedHashMap<NodeId, Item>()

    /** Adds [record] and drops what was queued about the same node. */
    fun add(record: NodeRecord) {
        items -= record.node
        items[record.node] = Item(CompactRecord.of(record))
        if (items.size > MAX_ITEMS) items -= items.entries.maxBy { it.value.sent }.key
    }

    /** Returns updates of at most [maxBytes] for a domain of [nodes] nodes, beginning with [first]. */
    fun take(
        maxBytes: Int,
        nodes: Int,
        first: NodeRecord? = null,
    ): List<CompactRecord> {
        val taken = mutableListOf<CompactRecord>()
        var left = maxBytes
        var alive = 0
        if (first != null) CompactRecord.of(first).also { left -= it.maxBytes }.let(taken::add)
        if (items.isEmpty()) return taken
        val limit = settings.retransmissionFactor * binaryLog(nodes + 1)
        for (item in items.values.sortedWith(ORDER)) {
            if (item.record.node == first?.node) continue
            if (item.record.maxBytes > left) continue
            if (item.record.status == NodeStatus.ALIVE && alive++ >= MAX_ALIVE) continue
            left -= item.record.maxBytes
            taken += item.record
            item.sent++
        }
        items.values.removeIf { it.sent >= limit }
        return taken
    }

    private fun binaryLog(value: Int): Int = Int.SIZE_BITS - Integer.numberOfLeadingZeros(value.coerceAtLeast(1))

    private companion object {
        const val MAX_ITEMS = 4_096

        /** Keeps a mass restart, after which every node has thousands of records to pass on, below 3 KB/s. */
        const val MAX_ALIVE = 2
        val ORDER = compareBy<Item>({ it.record.status == NodeStatus.ALIVE }, { it.sent })
    }
}
