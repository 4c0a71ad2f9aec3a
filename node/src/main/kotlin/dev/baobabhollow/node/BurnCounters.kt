package dev.baobabhollow.node

import dev.baobabhollow.model.LatencyHistogram
import dev.baobabhollow.model.MeshConfig
import dev.baobabhollow.model.OutcomeSummary
import dev.baobabhollow.model.RouteId
import dev.baobabhollow.model.ServiceId
import dev.baobabhollow.model.ServiceObjective

/**
 * Counts the calls of the node's own target per route in buckets of [BUCKET_MILLIS] over the last [KEPT_BUCKETS]. Safe for
 * use by several threads.
 */
internal class BurnCounters {
    private data class RouteKey(
        val service: ServiceId,
        val route: RouteId,
    )

    private val buckets = mutableMapOf<RouteKey, ArrayDeque<BurnBucket>>()

    /** Adds the calls of [summary]; calls slower than the objective of their service in [mesh] count as slow. */
    @Synchronized
    fun add(
        summary: OutcomeSummary,
        mesh: MeshConfig,
    ) {
        val objective = mesh.services[summary.service]?.objective ?: ServiceObjective()
        val start = summary.endsAtMillis - Math.floorMod(summary.endsAtMillis, BUCKET_MILLIS)
        val kept = buckets.getOrPut(RouteKey(summary.service, summary.route)) { ArrayDeque() }
        val last = kept.lastOrNull()
        // A bucket that would start before the last one belongs to a clock that stepped back; its calls join the last.
        val open = if (last != null && last.startMillis >= start) kept.removeLast() else BurnBucket(start)
        kept += open.plus(summary, objective)
        while (kept.size > KEPT_BUCKETS) kept.removeFirst()
    }

    /** Returns the counts of all routes with their members and objectives in [mesh]. */
    @Synchronized
    fun routes(mesh: MeshConfig): List<RouteBurn> =
        buckets.map { (key, kept) ->
            val service = mesh.services[key.service]
            RouteBurn(service?.member, key.service, key.route, service?.objective, kept.toList())
        }

    private fun BurnBucket.plus(
        summary: OutcomeSummary,
        objective: ServiceObjective,
    ) = copy(
        calls = calls + summary.calls,
        errors = errors + summary.errors,
        slow = slow + LatencyHistogram.decode(summary.latency).countAbove(objective.fastMillis * MICROS_PER_MILLI),
        shed = shed + summary.shed,
    )

    internal companion object {
        const val BUCKET_MILLIS = 5_000L

        /** Covers one hour, the long window of the burn report. */
        const val KEPT_BUCKETS = 720
        private const val MICROS_PER_MILLI = 1_000
    }
}
