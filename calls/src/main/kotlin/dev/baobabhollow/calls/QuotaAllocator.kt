package dev.baobabhollow.calls

/**
 * Answer of an allocator. If [granted] is less than was asked for, the bucket is empty and the node should ask again
 * after [retryMillis]. If [isAllocator] is false, the asked node does not allocate the tenant's tokens at present.
 */
data class QuotaAnswer(
    val granted: Int,
    val retryMillis: Long = 0,
    val isAllocator: Boolean = true,
)

/**
 * Allocates the tokens of the tenants for which this node is the allocator in its failure domain. Each domain has an
 * equal part of every quota, so that domains cannot exceed it together whatever they know of each other. Addresses one
 * tenant sending many times its quota through any number of nodes.
 *
 * Thread-safe. Times are monotonic milliseconds.
 */
class QuotaAllocator(
    private val settings: QuotaSettings,
) {
    private val buckets = HashMap<QuotaKey, QuotaBucket>()
    private var limits: Map<QuotaKey, QuotaLimit> = emptyMap()
    private var fleet: QuotaFleet? = null

    /** Number of tenants that have asked for tokens. */
    val size: Int @Synchronized get() = buckets.size

    /** Applies a configuration. Tenants that are not in [limits] have no limit. */
    @Synchronized
    fun updateLimits(limits: Map<QuotaKey, QuotaLimit>) {
        this.limits = limits
        buckets.keys.retainAll(limits.keys)
    }

    /** Applies a fleet. Buckets of tenants that now have another allocator are removed. */
    @Synchronized
    fun updateFleet(fleet: QuotaFleet) {
        this.fleet = fleet
        buckets.keys.removeIf { !fleet.isAllocator(it) }
    }

    /** Takes up to [wanted] tokens of the tenant [key], at least one. */
    @Synchronized
    fun ask(
        key: QuotaKey,
        wanted: Int,
        nowMillis: Long,
    ): QuotaAnswer {
        val fleet = fleet
        if (fleet == null || !fleet.isAllocator(key)) return QuotaAnswer(0, isAllocator = false)
        val limit = limits[key] ?: return QuotaAnswer(wanted)
        val bucket = bucketOf(key, limit, fleet, nowMillis)
        if (!bucket.isStarted(nowMillis)) return QuotaAnswer(0, isAllocator = false)
        val granted = bucket.take(wanted, nowMillis)
        if (granted == wanted) return QuotaAnswer(granted)
        return QuotaAnswer(granted, bucket.promiseMillis(wanted - granted, nowMillis))
    }

    /**
     * Returns the bucket of [key] with its present rate. This node has been the allocator at least since the live nodes
     * of its domain last changed. Before that another one may have been, whose bucket is not known: therefore a new
     * bucket is empty, and starts after the other node has learnt of the change and its tokens have expired.
     */
    private fun bucketOf(
        key: QuotaKey,
        limit: QuotaLimit,
        fleet: QuotaFleet,
        nowMillis: Long,
    ): QuotaBucket {
        val share = fleet.domainShare(nowMillis)
        val rate = limit.ratePerSecond / fleet.domains * share
        val capacity = (settings.capacity(limit, fleet.domains) * share).coerceAtLeast(1.0)
        val bucket =
            buckets.getOrPut(key) { QuotaBucket(fleet.stableSinceMillis + SETTLE_MILLIS, rate, capacity) }
        bucket.resize(rate, capacity, nowMillis)
        return bucket
    }

    private companion object {
        /**
         * Time for a change of the live nodes to reach all nodes of a failure domain. It is longer than the life of a
         * token.
         */
        const val SETTLE_MILLIS = 1_000L
    }
}
