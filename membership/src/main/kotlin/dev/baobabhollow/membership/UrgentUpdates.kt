package dev.baobabhollow.membership

import dev.baobabhollow.model.NodeId
import dev.baobabhollow.model.NodeRecord
import dev.baobabhollow.model.NodeStatus

/** Holds records that are sent on at once, in [ROUNDS] rounds, because calls must not go to their targets any more. */
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
        var left = maxBytes
        val taken =
            records.values.sortedByDescending { it.status }.filter {
                val bytes = CompactRecord.of(it).maxBytes
                (bytes <= left).also { fits -> if (fits) left -= bytes }
            }
        taken.forEach { countRound(it.node) }
        return taken
    }

    private fun countRound(node: NodeId) {
        val left = rounds.getValue(node) - 1
        rounds[node] = left
        if (left > 0) return
        rounds -= node
        records -= node
    }

    private companion object {
        const val ROUNDS = 3
        const val MAX_RECORDS = 1_024
    }
}
