package dev.baobabhollow.bench.moves

import dev.baobabhollow.model.FailureDomainId
import dev.baobabhollow.model.LatencyHistogram
import dev.baobabhollow.model.MovePlan
import dev.baobabhollow.model.NodeId
import dev.baobabhollow.model.OutcomeSummary
import dev.baobabhollow.model.RouteId
import dev.baobabhollow.model.ServiceId
import java.util.random.RandomGenerator
import kotlin.math.exp
import kotlin.math.ln

/** Outcome counts and latencies of one node and route since its last summary. */
private class Tally {
    private var latencies = LongArray(INITIAL_SIZE)
    private var latencyCount = 0
    var calls = 0L
    var errors = 0L
    var shed = 0L

    fun record(micros: Long) {
        if (latencyCount == latencies.size) latencies = latencies.copyOf(2 * latencyCount)
        latencies[latencyCount++] = micros
    }

    fun encode(): ByteArray = LatencyHistogram.encodeAll(latencies, latencyCount)

    fun reset() {
        latencyCount = 0
        calls = 0
        errors = 0
        shed = 0
    }

    private companion object {
        const val INITIAL_SIZE = 16
    }
}

/** A target and its node. [summaryOffsetMillis] staggers the summaries of the nodes. */
private class SimulatedTarget(
    service: ServiceId,
    val domain: Int,
    val isNew: Boolean,
    val summaryOffsetMillis: Long,
    routes: Int,
) {
    val node = NodeId("$service-$domain-${if (isNew) "new" else "old"}")
    val failureDomain = FailureDomainId("domain-$domain")
    val tallies = List(routes) { Tally() }
    var callsReceived = 0L
}

/**
 * Simulates the calls of one service and their outcomes at the targets of both releases. If [countsLatency] is false,
 * the summaries contain no latencies, which saves time for a judge that does not read them.
 */
internal class SimulatedTraffic(
    private val traffic: ServiceTraffic,
    private val plan: MovePlan,
    private val rateFactor: Double,
    private val domains: Int,
    private val conditions: SimulatedConditions,
    private val knownFault: KnownFaultTest,
    private val countsLatency: Boolean,
    private val summaryMillis: Long,
    private val random: RandomGenerator,
) {
    private val routes = traffic.routes.map { RouteId(it.name) }
    private val targets =
        (0 until domains).flatMap { domain ->
            listOf(false, true).map { isNew ->
                val summaryOffsetMillis = random.nextLong(summaryMillis / STEP_MILLIS) * STEP_MILLIS
                SimulatedTarget(plan.service, domain, isNew, summaryOffsetMillis, traffic.routes.size)
            }
        }

    /** Calls received by both releases since the start of the move. */
    var allCalls = 0L
        private set

    /** Calls received by the new release. */
    var newCalls = 0L
        private set

    /** Calls affected by the fault of the new release. */
    var faultyCalls = 0L
        private set

    /** Epoch milliseconds of the step in which the fault first affected a call, or null. */
    var firstFaultAtMillis: Long? = null
        private set

    /** Simulates the calls of the step that starts at [atMillis]; [sharePermille] of them go to the new release. */
    fun step(
        atMillis: Long,
        sharePermille: Int,
    ) {
        for (target in targets) {
            val share = if (target.isNew) sharePermille / FULL_PERMILLE else 1 - sharePermille / FULL_PERMILLE
            if (share > 0) stepTarget(target, share, atMillis, sharePermille)
        }
    }

    private fun stepTarget(
        target: SimulatedTarget,
        share: Double,
        atMillis: Long,
        sharePermille: Int,
    ) {
        val rate = traffic.callsPerSecond * rateFactor * share / domains
        val utilization = (rate * traffic.routes.sumOf { it.share * it.medianMicros } / MICROS / traffic.slots)
        val loadFactor =
            1 +
                LOAD_WEIGHT * utilization.coerceAtMost(MAX_UTILIZATION) /
                (1 - utilization.coerceAtMost(MAX_UTILIZATION))
        val environment =
            conditions.environment(
                atMillis - plan.startAtMillis,
                target.domain,
                target.isNew,
                target.callsReceived,
            )
        traffic.routes.forEachIndexed { index, route ->
            val isRareRoute = index == traffic.routes.lastIndex
            val fault =
                if (target.isNew) {
                    conditions.fault(atMillis - plan.startAtMillis, isRareRoute, sharePermille)
                } else {
                    Conditions()
                }
            repeat(poisson(rate * route.share * STEP_MILLIS / MILLIS)) {
                call(target, route, target.tallies[index], fault, environment, loadFactor, atMillis)
            }
        }
    }

    private fun call(
        target: SimulatedTarget,
        route: RouteTraffic,
        tally: Tally,
        fault: Conditions,
        environment: Conditions,
        loadFactor: Double,
        atMillis: Long,
    ) {
        if (environment.shedShare > 0 && random.nextDouble() < environment.shedShare) {
            tally.shed++
            return
        }
        val baseErrorShare = if (target.isNew) route.errorShare * conditions.errorFactor else route.errorShare
        val isError = random.nextDouble() < baseErrorShare + fault.extraErrorShare + environment.extraErrorShare
        val zScore = random.nextGaussian()
        val factor = loadFactor * fault.slowFactor * environment.slowFactor
        tally.calls++
        if (isError) tally.errors++
        if (countsLatency) tally.record((route.medianMicros * factor * exp(route.sigma * zScore)).toLong())
        if (atMillis >= plan.startAtMillis) allCalls++
        if (target.isNew) countNew(target, route, fault, isError, zScore, atMillis)
    }

    private fun countNew(
        target: SimulatedTarget,
        route: RouteTraffic,
        fault: Conditions,
        isError: Boolean,
        zScore: Double,
        atMillis: Long,
    ) {
        target.callsReceived++
        newCalls++
        if (fault.extraErrorShare <= 0 && fault.slowFactor <= 1) return
        faultyCalls++
        if (firstFaultAtMillis == null) firstFaultAtMillis = atMillis
        val shifted = zScore + ln(fault.slowFactor) / route.sigma
        knownFault.count(route, fault, isError, shifted, atMillis)
    }

    private fun poisson(mean: Double): Int {
        var count = 0
        var sum = random.nextExponential()
        while (sum < mean) {
            count++
            sum += random.nextExponential()
        }
        return count
    }

    /** Returns the summaries of all nodes that report at [nowMillis]. */
    fun summaries(nowMillis: Long): List<OutcomeSummary> =
        targets.filter { (nowMillis + it.summaryOffsetMillis) % summaryMillis == 0L }.flatMap { target ->
            traffic.routes.indices.mapNotNull { index -> summarize(target, index, nowMillis) }
        }

    private fun summarize(
        target: SimulatedTarget,
        routeIndex: Int,
        nowMillis: Long,
    ): OutcomeSummary? {
        val tally = target.tallies[routeIndex]
        if (tally.calls + tally.shed == 0L) return null
        val summary =
            OutcomeSummary(
                target.node,
                target.failureDomain,
                plan.service,
                routes[routeIndex],
                if (target.isNew) plan.to else plan.from,
                nowMillis,
                tally.calls,
                tally.errors,
                tally.shed,
                tally.encode(),
            )
        tally.reset()
        return summary
    }

    /** Constants of the simulation. */
    companion object {
        /** Length of a simulated step in milliseconds. */
        const val STEP_MILLIS = 250L
        private const val FULL_PERMILLE = 1_000.0
        private const val MILLIS = 1_000.0
        private const val MICROS = 1e6
        private const val LOAD_WEIGHT = 0.5
        private const val MAX_UTILIZATION = 0.9
    }
}
