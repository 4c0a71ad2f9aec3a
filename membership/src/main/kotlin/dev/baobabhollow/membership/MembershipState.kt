package dev.baobabhollow.membership

import dev.baobabhollow.model.FailureDomainId
import dev.baobabhollow.model.NodeId
import dev.baobabhollow.model.NodeRecord
import dev.baobabhollow.model.NodeStatus
import dev.baobabhollow.model.TargetStatus
import java.util.random.RandomGenerator

/** State that the parts of a membership share: known nodes, updates to spread, suspicions and the node's own record. */
internal class MembershipState(
    self: NodeRecord,
    val settings: MembershipSettings,
    val random: RandomGenerator,
) {
    val table = NodeTable(self.node, settings)
    val updates = UpdateQueue(settings)
    val suspicions = Suspicions(settings)
    val urgent = UrgentUpdates()

    /** Record of an earlier process of this node that withdrew its target, as another node remembers it. */
    var earlierWithdrawal: NodeRecord? = null
    val selfId: NodeId = self.node
    val domain: FailureDomainId = self.failureDomain

    val self: NodeRecord get() = checkNotNull(table[selfId])

    /** Nodes of this domain that are not dead, without this node. */
    val neighbours: List<NodeRecord>
        get() = nodesOf(domain).filter { it.node != selfId }

    val domainSize: Int get() = nodesOf(domain).size

    private val firstIncarnation = self.incarnation
    private var groupedRevision = -1L
    private var grouped: Map<FailureDomainId, List<NodeRecord>> = emptyMap()

    init {
        require(
            CompactRecord.of(self).maxBytes <= settings.maxRecordBytes,
        ) {
            "names of node ${self.node} are too long: expected a record of at most ${settings.maxRecordBytes} bytes"
        }
        table.put(self)
        updates.add(self)
    }

    /** Returns the nodes that are not dead, by failure domain. */
    fun byDomain(): Map<FailureDomainId, List<NodeRecord>> {
        val view = table.view
        if (view.revision != groupedRevision) {
            grouped =
                view.nodes.values
                    .filter { it.status != NodeStatus.DEAD }
                    .groupBy { it.failureDomain }
            groupedRevision = view.revision
        }
        return grouped
    }

    private fun nodesOf(domain: FailureDomainId) = byDomain()[domain].orEmpty()

    fun senderRecord(): SenderRecord {
        val own = self
        return SenderRecord(
            own.node,
            own.failureDomain,
            own.incarnation,
            own.controlEndpoint.host,
            own.controlEndpoint.port,
        )
    }

    /** Returns updates, beginning with [first], that fit a message whose other content takes [usedBytes]. */
    fun takeUpdates(
        first: NodeRecord? = null,
        usedBytes: Int = MESSAGE_OVERHEAD_BYTES,
    ): List<CompactRecord> = updates.take(settings.maxMessageBytes - usedBytes, domainSize, first)

    /** Applies [change] to this node's own record, raises its incarnation and spreads it. */
    fun announce(change: (NodeRecord) -> NodeRecord) {
        val before = self
        val after = change(before).copy(node = selfId, failureDomain = domain, incarnation = before.incarnation + 1)
        table.put(after)
        updates.add(after)
        // A node can leave while its target is draining already, and that must not wait for the next probes either.
        if (isWithdrawn(after) || isUrgent(after, before)) urgent.add(after, UrgentUpdates.RELIABLE_ROUNDS)
    }

    /** Merges [record] of any node. If it is new, it is also spread further, unless [shouldSpread] is false. */
    fun merge(
        record: NodeRecord,
        nowMillis: Long,
        shouldSpread: Boolean = true,
    ) {
        if (record.node == selfId) {
            recordEarlier(record)
            return refute(record)
        }
        if (CompactRecord.of(record).maxBytes > settings.maxRecordBytes) return
        val before = table[record.node]
        if (!table.merge(record, nowMillis)) return
        if (shouldSpread) updates.add(record)
        if (shouldSpread && isUrgent(record, before)) urgent.add(record, relayRounds(record))
        if (record.failureDomain != domain) return
        if (record.status == NodeStatus.SUSPECT) {
            suspicions.start(record, nowMillis, domainSize)
        } else {
            suspicions.end(record.node)
        }
    }

    /** Keeps [record], an older one of this node, if it is of an earlier process that withdrew its target. */
    private fun recordEarlier(record: NodeRecord) {
        val own = self
        // A clock that was set back gives a new process a lower incarnation.
        val isEarlier = record.incarnation < firstIncarnation || record.incarnation > own.incarnation
        if (isEarlier && record.target?.status == TargetStatus.DRAINING) earlierWithdrawal = record
    }

    /**
     * Raises the own incarnation above the one others hold, which may be higher after a restart with a clock set back.
     */
    private fun refute(record: NodeRecord) {
        val own = self
        if (record.incarnation < own.incarnation || record == own) return
        table.put(own.copy(incarnation = record.incarnation + 1))
        updates.add(self)
    }

    /** Returns at most [count] random elements of [from]. */
    fun <T> pick(
        from: List<T>,
        count: Int,
    ): List<T> {
        if (from.size <= 1) return from.take(count)
        val remaining = from.toMutableList()
        return List(minOf(count, remaining.size)) {
            val index = random.nextInt(remaining.size)
            val chosen = remaining[index]
            remaining[index] = remaining.last()
            remaining.removeLast()
            chosen
        }
    }

    /**
     * True if [record] changes whether calls may go to the node's target. Targets that appear are urgent too: after a
     * mass restart, all calls go to the few targets that are known.
     */
    private fun isUrgent(
        record: NodeRecord,
        before: NodeRecord?,
    ): Boolean {
        val availability = availabilityOf(record)
        return availability != Availability.NONE && availability != before?.let(::availabilityOf)
    }

    private fun relayRounds(record: NodeRecord) =
        if (isWithdrawn(record)) UrgentUpdates.RELIABLE_ROUNDS else UrgentUpdates.RELAYED_ROUNDS
}

private enum class Availability { NONE, SERVING, WITHDRAWN, LEAVING }

private fun availabilityOf(record: NodeRecord): Availability =
    when {
        record.status == NodeStatus.LEAVING -> Availability.LEAVING
        isWithdrawn(record) -> Availability.WITHDRAWN
        record.status != NodeStatus.DEAD && record.target != null -> Availability.SERVING
        else -> Availability.NONE
    }

/** True if calls must not go to the target of [record]'s node although the node runs. */
internal fun isWithdrawn(record: NodeRecord): Boolean {
    val target = record.target
    return record.status == NodeStatus.LEAVING || (target != null && target.status != TargetStatus.SERVING)
}

/** Upper bound of the encoded size of a message without its updates and lists, in bytes. */
internal const val MESSAGE_OVERHEAD_BYTES = 200
