package dev.baobabhollow.membership

import com.dynatrace.hash4j.hashing.Hashing
import dev.baobabhollow.model.FailureDomainId
import dev.baobabhollow.model.NodeId
import dev.baobabhollow.model.NodeRecord
import dev.baobabhollow.model.NodeStatus
import dev.baobabhollow.model.TargetStatus

/** Number of buckets into which a domain's records are split for reconciliation; a bit set of them fits a Long. */
internal const val BUCKET_COUNT = 64

/**
 * Records of all known nodes. Those of dead nodes are kept as tombstones for [MembershipSettings.deadMemoryMillis], so
 * that a late message cannot revive them.
 */
internal class NodeTable(
    private val self: NodeId,
    private val settings: MembershipSettings,
) {
    private class Withdrawal(
        val record: NodeRecord,
    ) {
        var remindersLeft = MAX_REMINDERS
    }

    private val nodes = LinkedHashMap<NodeId, NodeRecord>()
    private val diedAtMillis = LinkedHashMap<NodeId, Long>()

    /** Latest records in which nodes withdrew targets that they have not replaced since. */
    private val withdrawals = HashMap<NodeId, Withdrawal>()
    private var cachedView: FleetView? = null
    private var cachedDigests: Map<FailureDomainId, IntArray>? = null
    private var revision = 0L

    val view: FleetView
        get() = cachedView ?: FleetView(self, LinkedHashMap(nodes), revision).also { cachedView = it }

    operator fun get(node: NodeId): NodeRecord? = nodes[node]

    /** Stores [record] if it supersedes the known one, and returns whether it did. */
    fun merge(
        record: NodeRecord,
        nowMillis: Long,
    ): Boolean {
        val known = nodes[record.node]
        if (known == null && nodes.size >= settings.maxNodes) return false
        if (known != null && !supersedes(record, known)) return false
        put(record)
        rememberWithdrawal(record)
        if (record.status == NodeStatus.DEAD) rememberDead(record.node, nowMillis) else diedAtMillis -= record.node
        return true
    }

    /** Stores [record] unconditionally. */
    fun put(record: NodeRecord) {
        nodes[record.node] = record
        markChanged()
    }

    fun forgetDead(nowMillis: Long) {
        while (true) {
            val (node, diedAt) = diedAtMillis.entries.firstOrNull() ?: return
            if (nowMillis - diedAt < settings.deadMemoryMillis) return
            forget(node)
        }
    }

    fun deadNodes(): List<NodeRecord> = diedAtMillis.keys.mapNotNull { nodes[it] }

    /** Returns the hash of each domain's records that are not dead. */
    fun domainHashes(): Map<FailureDomainId, Int> = digests().mapValues { it.value.contentHashCode() }

    fun bucketHashes(domain: FailureDomainId): IntArray = digests()[domain] ?: IntArray(BUCKET_COUNT)

    /** Returns the records of [domain], dead ones included, in the buckets whose bits are set in [mask]. */
    fun recordsIn(
        domain: FailureDomainId,
        mask: Long,
    ): List<NodeRecord> =
        nodes.values.filter { it.failureDomain == domain && mask and (1L shl bucketOf(it.node)) != 0L }

    /**
     * Returns the record in which an earlier process of [node] withdrew its target, if the latest record of the node shows
     * that it doesn't know of that. Returns it only a few times, since the node may have good reasons.
     */
    fun takeForgottenWithdrawal(node: NodeId): NodeRecord? {
        val withdrawal = withdrawals[node] ?: return null
        val latest = nodes[node] ?: return null
        val isForgotten = latest.incarnation > withdrawal.record.incarnation && !isDraining(latest)
        if (!isForgotten || withdrawal.remindersLeft == 0) return null
        withdrawal.remindersLeft--
        return withdrawal.record
    }

    /** A node that has just started announces no target at first, and then perhaps the one that was withdrawn. */
    private fun rememberWithdrawal(record: NodeRecord) {
        val target = record.target
        when {
            target == null -> withdrawals[record.node]?.let { it.remindersLeft = MAX_REMINDERS }
            isDraining(record) -> withdrawals[record.node] = Withdrawal(record)
            target.instance != withdrawals[record.node]?.record?.target?.instance -> withdrawals -= record.node
        }
    }

    private fun rememberDead(
        node: NodeId,
        nowMillis: Long,
    ) {
        diedAtMillis -= node
        diedAtMillis[node] = nowMillis
        if (diedAtMillis.size > settings.maxDeadNodes) forget(diedAtMillis.keys.first())
    }

    private fun forget(node: NodeId) {
        diedAtMillis -= node
        nodes -= node
        withdrawals -= node
        markChanged()
    }

    private fun markChanged() {
        revision++
        cachedView = null
        cachedDigests = null
    }

    private fun digests(): Map<FailureDomainId, IntArray> =
        cachedDigests ?: computeDigests().also { cachedDigests = it }

    private fun computeDigests(): Map<FailureDomainId, IntArray> {
        val digests = HashMap<FailureDomainId, IntArray>()
        for (record in nodes.values) {
            if (record.status == NodeStatus.DEAD) continue
            val buckets = digests.getOrPut(record.failureDomain) { IntArray(BUCKET_COUNT) }
            buckets[bucketOf(record.node)] += hashOf(record)
        }
        return digests
    }

    private companion object {
        /** Datagrams may be lost, and the node may restart its target under the same name. */
        const val MAX_REMINDERS = 4

        fun isDraining(record: NodeRecord) = record.target?.status == TargetStatus.DRAINING
    }
}

/** True if [record] is newer than [known]: by incarnation, then by status. */
internal fun supersedes(
    record: NodeRecord,
    known: NodeRecord,
): Boolean =
    record.incarnation > known.incarnation ||
        (record.incarnation == known.incarnation && record.status > known.status)

internal fun bucketOf(node: NodeId): Int = Math.floorMod(Hashing.xxh3_64().hashCharsToLong(node.value), BUCKET_COUNT)

/** Returns a hash that ignores suspicion, which is not spread beyond a domain and must not count as a difference. */
private fun hashOf(record: NodeRecord): Int =
    Hashing
        .xxh3_64()
        .hashStream()
        .putString(record.node.value)
        .putLong(record.incarnation)
        .putBoolean(record.status == NodeStatus.LEAVING)
        .asLong
        .toInt()
