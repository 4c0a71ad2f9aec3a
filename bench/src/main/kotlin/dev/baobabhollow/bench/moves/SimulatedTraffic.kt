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

/** Counts outcomes of one node and route since its last summary. */
private class Tally {
    private var latencies = LongArray(INITIAL_SIZE)
    private var timed = 0
    var calls = 0L
    var errors = 0L
    var shed = 0L

    fun record(micros: Long) {
        if (timed == latencies.size) latencies = latencies.copyOf(2 * timed)
        latencies[timed++] = micros
    }

    fun encode(): ByteArray = LatencyHistogram.encodeAll(latencies, timed)

    fun reset() {
        timed = 0
        calls = 0
        errors = 0
        shed = 0
    }

    private companion object {
        const val INITIAL_SIZE = 16
    }
}

/** Holds one target with its node. [phase] spreads the nodes' summaries over time. */
private class SimulatedTarget(
    service: ServiceId,
    val domain: Int,
    val isNew: Boolean,
    val phase: Long,
    routes: Int,
) {
    val node = NodeId("$service-$domain-${if (isNew) "new" else "old"}")
    val failureDomain = FailureDomainId("domain-$domain")
    val tallies = List(routes) { Tally() }
    var callsBefore = 0L
}

/**
 * Simulates calls of one service and the outcomes that the targets of both releases give. Without [countsLatency] the
 * summaries hold no latencies, which saves time where nothing reads them.
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
                val phase = random.nextLong(summaryMillis / STEP_MILLIS) * STEP_MILLIS
                SimulatedTarget(plan.service, domain, isNew, phase, traffic.routes.size)
            }
        }

    /** Calls that both releases received. */
    var allCalls = 0L
        private set

    /** Calls that the new release received. */
    var newCalls = 0L
        private set

    /** Calls that met a fault of the new release. */
    var faultyCalls = 0L
        private set

    /** Time at which a call first met the fault, or null. */
    var firstFaultAtMillis: Long? = null
        private set

    /** Simulates the calls of the step that begins at [atMillis], with [sharePermille] of them to the new release. */
    fun step(
        atMillis: Long,
        sharePermille: Int,
    ) {
        for (target in targets) {
            val share = if (target.isNew) sharePermille / FULL else 1 - sharePermille / FULL
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
        val busy = (rate * traffic.routes.sumOf { it.share * it.medianMicros } / MICROS / traffic.slots)
        val loadFactor = 1 + LOAD_WEIGHT * busy.coerceAtMost(MAX_BUSY) / (1 - busy.coerceAtMost(MAX_BUSY))
        val around =
            conditions.surroundings(
                atMillis - plan.startAtMillis,
                target.domain,
                target.isNew,
                target.callsBefore,
            )
        traffic.routes.forEachIndexed { index, route ->
            val isRare = index == traffic.routes.lastIndex
            val fault =
                if (target.isNew) {
                    conditions.fault(atMillis - plan.startAtMillis, isRare, sharePermille)
                } else {
                    Conditions()
                }
            repeat(poisson(rate * route.share * STEP_MILLIS / MILLIS)) {
                call(target, route, target.tallies[index], fault, around, loadFactor, atMillis)
            }
        }
    }

    private fun call(
        target: SimulatedTarget,
        route: RouteTraffic,
        tally: Tally,
        fault: Conditions,
        around: Conditions,
        loadFactor: Double,
        atMillis: Long,
    ) {
        if (around.shedShare > 0 && random.nextDouble() < around.shedShare) {
            tally.shed++
            return
        }
        val base = if (target.isNew) route.errorShare * conditions.errorFactor else route.errorShare
        val isError = random.nextDouble() < base + fault.extraErrors + around.extraErrors
        val deviate = random.nextGaussian()
        val factor = loadFactor * fault.slowFactor * around.slowFactor
        tally.calls++
        if (isError) tally.errors++
        if (countsLatency) tally.record((route.medianMicros * factor * exp(route.sigma * deviate)).toLong())
        if (atMillis >= plan.startAtMillis) allCalls++
        if (target.isNew) countNew(target, route, fault, isError, deviate, atMillis)
    }

    private fun countNew(
        target: SimulatedTarget,
        route: RouteTraffic,
        fault: Conditions,
        isError: Boolean,
        deviate: Double,
        atMillis: Long,
    ) {
        target.callsBefore++
        newCalls++
        if (fault.extraErrors <= 0 && fault.slowFactor <= 1) return
        faultyCalls++
        if (firstFaultAtMillis == null) firstFaultAtMillis = atMillis
        val shifted = deviate + ln(fault.slowFactor) / route.sigma
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
        targets.filter { (nowMillis + it.phase) % summaryMillis == 0L }.flatMap { target ->
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

    /** Holds the time steps. */
    companion object {
        /** Length of a simulated step in milliseconds. */
        const val STEP_MILLIS = 250L
        private const val FULL = 1_000.0
        private const val MILLIS = 1_000.0
        private const val MICROS = 1e6
        private const val LOAD_WEIGHT = 0.5
        private const val MAX_BUSY = 0.9
    }
}
