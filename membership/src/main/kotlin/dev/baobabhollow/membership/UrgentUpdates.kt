package dev.baobabhollow.membership

import dev.baobabhollow.model.NodeId
import dev.baobabhollow.model.NodeRecord
import dev.baobabhollow.model.NodeStatus

/** Records sent at once, in [ROUNDS] rounds, because calls must no longer go to the targets of their nodes. */
internal class UrgentUpdates {
    private val rounds = LinkedHashMap<NodeId, Int>()
    private val records = HashMap<NodeId, NodeRecord>()

    val isEmpty: Boolean get() = rounds.isEmpty()

    fun add(record: NodeRecord) {
        if (rounds.size >= MAX_RECORDS) return
        rounds[record.node] = ROUNDS
        records[record.node] = record
    }

    /** Returns the records of the next round that fit [maxBytes]. */
    fun takeRound(maxBytes: Int): List<NodeRecord> {
        var remaining = maxBytes
        val taken =
            records.values.sortedByDescending { it.status }.filter {
                val bytes = CompactRecord.of(it).maxBytes
                (bytes <= remaining).also { fits -> if (fits) remaining -= bytes }
            }
        taken.forEach { countRound(it.node) }
        return taken
    }

    private fun countRound(node: NodeId) {
        val remaining = rounds.getValue(node) - 1
        rounds[node] = remaining
        if (remaining > 0) return
        rounds -= node
        records -= node
    }

    private companion object {
        const val ROUNDS = 3
        const val MAX_RECORDS = 1_024
    }
}
