package dev.baobabhollow.calls

import com.dynatrace.hash4j.hashing.Hashing
import dev.baobabhollow.membership.FleetView
import dev.baobabhollow.model.FailureDomainId
import dev.baobabhollow.model.NodeId
import dev.baobabhollow.model.NodeRecord

/**
 * What one node knows about the allocators of quotas: the live nodes of each failure domain in [live], the number of
 * [domains] between which quotas are divided, and [stableSinceMillis], since when the live nodes of the own domain have
 * been the same. [peak] is the highest number of them that is remembered, until [peakUntilMillis]. Thread-safe.
 */
class QuotaFleet internal constructor(
    val self: NodeId,
    val ownDomain: FailureDomainId,
    val live: Map<FailureDomainId, Map<NodeId, NodeRecord>>,
    val domains: Int,
    internal val stableSinceMillis: Long,
    private val peak: Int,
    private val peakUntilMillis: Long,
) {
    private val rankings = live.mapValues { QuotaRanking(it.value.keys) }

    private val nodes: Map<NodeId, NodeRecord> =
        HashMap<NodeId, NodeRecord>().apply { live.values.forEach { putAll(it) } }
    private val otherDomains = live.keys.filter { it != ownDomain }.sortedBy { it.value }

    /**
     * Returns the failure domains with live nodes in the order in which to ask for tokens of [key]: the own one first.
     * The order of the others differs between nodes and tenants, so that one domain does not get all further questions.
     */
    fun domainsFor(key: QuotaKey): List<FailureDomainId> {
        if (otherDomains.isEmpty()) return listOf(ownDomain)
        val first = Math.floorMod(key.bits + self.hashCode(), otherDomains.size.toLong()).toInt()
        return listOf(ownDomain) + otherDomains.drop(first) + otherDomains.take(first)
    }

    /** Returns the record of the live [node], or null if it is not known. */
    fun nodeOf(node: NodeId): NodeRecord? = nodes[node]

    /** Returns the node that allocates the tokens of [key] in [domain], or null if no node there is live. */
    fun allocatorOf(
        key: QuotaKey,
        domain: FailureDomainId,
    ): NodeId? = rankings[domain]?.first(key)

    /** True if this node allocates the tokens of [key] in its domain. */
    fun isAllocator(key: QuotaKey): Boolean = allocatorOf(key, ownDomain) == self

    /**
     * Returns the part of the domain's budget that this node may allocate. If more than a quarter of the domain has
     * disappeared, the node is probably on one side of a partition, and the other side allocates too: then the part is
     * that of the remaining nodes.
     */
    fun domainShare(nowMillis: Long): Double {
        val count = live[ownDomain].orEmpty().size
        val isWhole = nowMillis >= peakUntilMillis || count >= peak * WHOLE_SHARE
        return if (isWhole) 1.0 else count.toDouble() / peak
    }

    private companion object {
        /** The smaller side then has at most a quarter, so that both exceed the budget of a domain by at most that. */
        const val WHOLE_SHARE = 0.75
    }
}

/**
 * Ranks [nodes] by rendezvous hashing for each key. The names are hashed once, since a node is looked up for each
 * question: hashing the names for each key takes a hundred microseconds with 154 nodes in a failure domain.
 */
internal class QuotaRanking(
    nodes: Collection<NodeId>,
) {
    private val sorted = nodes.sorted()
    private val hashes = LongArray(sorted.size) { Hashing.xxh3_64().hashCharsToLong(sorted[it].value) }

    /** Returns the first node for [key], which all nodes with the same list agree on, or null if there are no nodes. */
    fun first(key: QuotaKey): NodeId? =
        sorted.indices.maxByOrNull { mix(hashes[it] xor mix(key.bits)) }?.let(sorted::get)

    /** Distributes the bits of [value] evenly (SplitMix64, G. L. Steele et al., 2014). */
    private fun mix(value: Long): Long {
        val first = (value + GOLDEN_GAMMA).let { (it xor (it ushr 30)) * MULTIPLIER_1 }
        val second = (first xor (first ushr 27)) * MULTIPLIER_2
        return second xor (second ushr 31)
    }

    private companion object {
        const val GOLDEN_GAMMA = -0x61c8864680b583ebL
        const val MULTIPLIER_1 = -0x40a7b892e31b1a47L
        const val MULTIPLIER_2 = -0x6b2fb644ecceee15L
    }
}

/** Derives a [QuotaFleet] from each view of the fleet. Not thread-safe; times are monotonic milliseconds. */
class QuotaFleetTracker(
    private val settings: QuotaSettings,
    private val self: NodeId,
    private val ownDomain: FailureDomainId,
    startMillis: Long,
) {
    private val knownDomains = mutableSetOf(ownDomain)
    private var ownNodes: Set<NodeId> = emptySet()
    private var stableSinceMillis = startMillis
    private var peak = 0
    private var peakMillis = startMillis

    /** Latest fleet. Until a view is known, it contains no nodes, so that nothing is allocated. */
    @Volatile
    var fleet: QuotaFleet = fleetOf(emptyMap())
        private set

    /** Returns the fleet of [view], which is the previous one if it has the same live nodes. */
    fun update(
        view: FleetView,
        nowMillis: Long,
    ): QuotaFleet {
        val nodes = view.live()
        nodes.mapTo(knownDomains) { it.failureDomain }
        val live = nodes.groupBy { it.failureDomain }.mapValues { (_, records) -> records.associateBy { it.node } }
        trackOwnDomain(live[ownDomain].orEmpty().keys, nowMillis)
        if (!isSame(live)) fleet = fleetOf(live)
        return fleet
    }

    private fun trackOwnDomain(
        nodes: Set<NodeId>,
        nowMillis: Long,
    ) {
        if (nodes != ownNodes) stableSinceMillis = nowMillis
        ownNodes = nodes
        if (nodes.size < peak && nowMillis < peakMillis + PEAK_MILLIS) return
        peak = nodes.size
        peakMillis = nowMillis
    }

    private fun isSame(live: Map<FailureDomainId, Map<NodeId, NodeRecord>>): Boolean =
        live.keys == fleet.live.keys &&
            live.all { (domain, nodes) -> isSame(nodes, fleet.live.getValue(domain)) }

    private fun isSame(
        nodes: Map<NodeId, NodeRecord>,
        before: Map<NodeId, NodeRecord>,
    ) = nodes.keys == before.keys && nodes.all { (id, node) -> node.controlEndpoint == before[id]?.controlEndpoint }

    private fun fleetOf(live: Map<FailureDomainId, Map<NodeId, NodeRecord>>): QuotaFleet {
        val domains = maxOf(knownDomains.size, settings.failureDomains)
        return QuotaFleet(self, ownDomain, live, domains, stableSinceMillis, peak, peakMillis + PEAK_MILLIS)
    }

    private companion object {
        /** Partitions last for minutes. After a planned reduction, the quota of the domain stays lower for this time. */
        const val PEAK_MILLIS = 600_000L
    }
}
