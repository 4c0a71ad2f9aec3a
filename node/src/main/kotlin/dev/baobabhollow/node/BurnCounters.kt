package dev.baobabhollow.node

import dev.baobabhollow.model.MemberId
import dev.baobabhollow.model.MeshConfig
import dev.baobabhollow.model.RouteId
import dev.baobabhollow.model.ServiceId
import dev.baobabhollow.proxy.BurnCount

/**
 * Counts the calls that callers made at this node, per route, in the latest [KEPT_BUCKETS] buckets of [BUCKET_MILLIS].
 * Thread-safe.
 */
internal class BurnCounters {
    private data class RouteKey(
        val member: MemberId,
        val service: ServiceId,
        val route: RouteId,
    )

    private val lastCounts = mutableMapOf<RouteKey, BurnCount>()
    private val buckets = mutableMapOf<RouteKey, ArrayDeque<BurnBucket>>()

    /** Adds the increase of the cumulative [counts] since the previous sample to the bucket of [nowMillis]. */
    @Synchronized
    fun sample(
        counts: List<BurnCount>,
        nowMillis: Long,
    ) {
        val start = nowMillis - Math.floorMod(nowMillis, BUCKET_MILLIS)
        for (count in counts) {
            val key = RouteKey(count.member, count.service, count.route)
            val before = lastCounts.put(key, count)
            if (before != count) add(buckets.getOrPut(key) { ArrayDeque() }, start, count, before)
        }
    }

    /** Returns the counts of all routes with the objectives of [mesh]. */
    @Synchronized
    fun routes(mesh: MeshConfig): List<RouteBurn> =
        buckets.map { (key, routeBuckets) ->
            RouteBurn(key.member, key.service, key.route, mesh.services[key.service]?.objective, routeBuckets.toList())
        }

    private fun add(
        routeBuckets: ArrayDeque<BurnBucket>,
        startMillis: Long,
        count: BurnCount,
        before: BurnCount?,
    ) {
        val last = routeBuckets.lastOrNull()
        // If the clock stepped back, the calls are added to the last bucket.
        val bucket =
            if (last != null &&
                last.startMillis >= startMillis
            ) {
                routeBuckets.removeLast()
            } else {
                BurnBucket(startMillis)
            }
        routeBuckets +=
            bucket.copy(
                calls = bucket.calls + count.calls - (before?.calls ?: 0),
                errors = bucket.errors + count.errors - (before?.errors ?: 0),
                slow = bucket.slow + count.slow - (before?.slow ?: 0),
            )
        while (routeBuckets.size > KEPT_BUCKETS) routeBuckets.removeFirst()
    }

    internal companion object {
        const val BUCKET_MILLIS = 5_000L

        /** One hour, the long window of the burn report. */
        const val KEPT_BUCKETS = 720
    }
}
