package dev.baobabhollow.proxy

import dev.baobabhollow.calls.Route
import dev.baobabhollow.model.LatencyHistogram
import dev.baobabhollow.model.MemberId
import dev.baobabhollow.model.NodeRecord
import dev.baobabhollow.model.OutcomeSummary
import dev.baobabhollow.model.ReleaseId
import dev.baobabhollow.model.RouteId
import dev.baobabhollow.model.ServiceId
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.LongAdder

/** How a call counts in the evidence on a release. */
enum class TargetResult {
    /** The target responded without a server error. */
    SUCCESS,

    /** The target responded with a server error or a malformed response, or did not respond. */
    ERROR,

    /** The target shed the call under load. */
    SHED,
}

/** Counts calls for the outcome summaries of releases and for error-budget burn reports. Thread-safe. */
class OutcomeRecorder {
    private data class OutcomeKey(
        val service: ServiceId,
        val route: RouteId,
        val release: ReleaseId,
    )

    private class OutcomeCounts {
        var calls = 0L
        var errors = 0L
        var shed = 0L
        val latency = LatencyHistogram()
    }

    private class BurnCounters {
        val calls = LongAdder()
        val errors = LongAdder()
        val slow = LongAdder()
    }

    private val outcomes = ConcurrentHashMap<OutcomeKey, OutcomeCounts>()
    private val burns = ConcurrentHashMap<Triple<MemberId, ServiceId, RouteId>, BurnCounters>()

    /** Counts a call that the local target of [release] ended after [micros]. */
    fun recordTarget(
        route: Route,
        release: ReleaseId,
        result: TargetResult,
        micros: Long,
    ) {
        val counts = outcomes.computeIfAbsent(OutcomeKey(route.service.id, route.id, release)) { OutcomeCounts() }
        synchronized(counts) {
            counts.calls++
            if (result == TargetResult.ERROR) counts.errors++
            if (result == TargetResult.SHED) counts.shed++
            counts.latency.record(micros)
        }
    }

    /** Counts a call at this entry node as its caller saw it. */
    fun recordCall(
        route: Route,
        isError: Boolean,
        micros: Long,
    ) {
        val config = route.service.config
        val burn = burns.computeIfAbsent(Triple(config.member, route.service.id, route.id)) { BurnCounters() }
        burn.calls.increment()
        if (isError) burn.errors.increment()
        if (micros > config.objective.fastMillis * MICROS_PER_MILLI) burn.slow.increment()
    }

    /** Returns the counts of the target of [node] since the last call, and resets them. */
    fun drainOutcomes(
        node: NodeRecord,
        nowMillis: Long,
    ): List<OutcomeSummary> =
        outcomes.mapNotNull { (key, counts) ->
            synchronized(counts) {
                if (counts.calls == 0L) return@mapNotNull null
                val summary =
                    OutcomeSummary(
                        node.node,
                        node.failureDomain,
                        key.service,
                        key.route,
                        key.release,
                        nowMillis,
                        counts.calls,
                        counts.errors,
                        counts.shed,
                        counts.latency.encode(),
                    )
                counts.calls = 0
                counts.errors = 0
                counts.shed = 0
                counts.latency.reset()
                summary
            }
        }

    /** Returns the counts since the start of the node. */
    fun burnCounts(): List<BurnCount> =
        burns.map { (key, burn) ->
            BurnCount(key.first, key.second, key.third, burn.calls.sum(), burn.errors.sum(), burn.slow.sum())
        }

    private companion object {
        const val MICROS_PER_MILLI = 1_000L
    }
}

/** Call counts of a route as callers saw them; [slow] calls took longer than the service's latency objective. */
data class BurnCount(
    val member: MemberId,
    val service: ServiceId,
    val route: RouteId,
    val calls: Long,
    val errors: Long,
    val slow: Long,
)
