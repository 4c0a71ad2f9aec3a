package dev.baobabhollow.node

import dev.baobabhollow.model.MemberId
import dev.baobabhollow.model.MeshConfig
import dev.baobabhollow.model.RouteId
import dev.baobabhollow.model.ServiceId
import dev.baobabhollow.proxy.BurnCount

/**
 * Keeps the calls that callers made at this node, per route in buckets of [BUCKET_MILLIS] over the last [KEPT_BUCKETS].
 * Safe for use by several threads.
 */
internal class BurnCounters {
    private data class RouteKey(
        val member: MemberId,
        val service: ServiceId,
        val route: RouteId,
    )

    private val lastCounts = mutableMapOf<RouteKey, BurnCount>()
    private val buckets = mutableMapOf<RouteKey, ArrayDeque<BurnBucket>>()

    /** Takes in the [counts] since the start of the node and books what is new at [nowMillis]. */
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
        buckets.map { (key, kept) ->
            RouteBurn(key.member, key.service, key.route, mesh.services[key.service]?.objective, kept.toList())
        }

    private fun add(
        kept: ArrayDeque<BurnBucket>,
        startMillis: Long,
        count: BurnCount,
        before: BurnCount?,
    ) {
        val last = kept.lastOrNull()
        // A bucket that would start before the last one belongs to a clock that stepped back; its calls join the last.
        val open = if (last != null && last.startMillis >= startMillis) kept.removeLast() else BurnBucket(startMillis)
        kept +=
            open.copy(
                calls = open.calls + count.calls - (before?.calls ?: 0),
                errors = open.errors + count.errors - (before?.errors ?: 0),
                slow = open.slow + count.slow - (before?.slow ?: 0),
            )
        while (kept.size > KEPT_BUCKETS) kept.removeFirst()
    }

    internal companion object {
        const val BUCKET_MILLIS = 5_000L

        /** Covers one hour, the long window of the burn report. */
        const val KEPT_BUCKETS = 720
    }
}
