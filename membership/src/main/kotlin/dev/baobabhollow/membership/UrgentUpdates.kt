package dev.baobabhollow.membership

import dev.baobabhollow.model.NodeId
import dev.baobabhollow.model.NodeRecord

/**
 * Records that are sent at once instead of with the next probes, because calls must no longer go to the targets of
 * their nodes, or can go there now.
 */
internal class UrgentUpdates {
    private val rounds = LinkedHashMap<NodeId, Int>()
    private val records = HashMap<NodeId, NodeRecord>()

    val isEmpty: Boolean get() = rounds.isEmpty()

    /** Adds [record], to be sent in [rounds] rounds. */
    fun add(
        record: NodeRecord,
        rounds: Int,
    ) {
        if (this.rounds.size >= MAX_RECORDS) return
        this.rounds[record.node] = rounds
        records[record.node] = record
    }

    /**
     * Returns the records of the next round in at most [MAX_BATCHES] batches that each fit [maxBytes]. Withdrawn targets
     * go first, then what was added first.
     */
    fun takeRound(maxBytes: Int): List<List<NodeRecord>> {
        val batches = mutableListOf<MutableList<NodeRecord>>()
        var remaining = 0
        for (record in rounds.keys.map(records::getValue).sortedByDescending(::isWithdrawn)) {
            val bytes = CompactRecord.of(record).maxBytes
            if (bytes > remaining) {
                if (batches.size == MAX_BATCHES) break
                batches += mutableListOf<NodeRecord>()
                remaining = maxBytes
            }
            batches.last() += record
            remaining -= bytes
        }
        batches.forEach { batch -> batch.forEach { countRound(it.node) } }
        return batches
    }

    private fun countRound(node: NodeId) {
        val remaining = rounds.getValue(node) - 1
        rounds[node] = remaining
        if (remaining > 0) return
        rounds -= node
        records -= node
    }

    companion object {
        /** Rounds of a record that must reach all nodes soon despite lost datagrams. */
        const val RELIABLE_ROUNDS = 3

        /** Rounds of another node's target that can be used now. After a mass restart there is one for each node. */
        const val RELAYED_ROUNDS = 1
        private const val MAX_RECORDS = 1_024
        private const val MAX_BATCHES = 3
    }
}
