package dev.baobabhollow.calls

import dev.baobabhollow.model.NodeId
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger
import kotlin.math.exp
import kotlin.math.ln

/**
 * Statistics of one entry node on one incarnation of a target. Written by several event loops without a lock: a lost
 * update of an average loses one observation.
 */
internal class TargetStats(
    val incarnation: Long,
    val firstSeenMillis: Long,
) {
    val inFlight = AtomicInteger()

    /** Time until which the target has no capacity because it is cold, as its owner stated with a refusal. */
    @Volatile
    var coldUntilMillis = Long.MIN_VALUE

    /** Time of the last response or, if no call was in flight after it, of the first call since. */
    @Volatile
    private var waitingSinceMillis = firstSeenMillis

    /** Latest estimate of the owner and the time of its arrival, or null. */
    @Volatile
    private var ownerEstimate: Pair<ResponseTimeEstimate, Long>? = null

    @Volatile
    private var latencyMicros = 0.0

    @Volatile
    private var loadPermille = 0.0

    @Volatile
    private var observedMillis = firstSeenMillis

    fun start(nowMillis: Long) {
        if (inFlight.getAndIncrement() == 0) waitingSinceMillis = nowMillis
    }

    fun onResponse(nowMillis: Long) {
        waitingSinceMillis = nowMillis
    }

    /** True if calls in flight have had no response for several times the target's average latency. */
    fun isSilent(
        nowMillis: Long,
        settings: PickerSettings,
    ): Boolean {
        if (inFlight.get() == 0) return false
        val averageMillis = (latencyMicros / MICROS_PER_MILLI).toLong()
        val limitMillis = if (averageMillis == 0L) settings.silenceMillis else averageMillis * settings.silenceLatencies
        return nowMillis - waitingSinceMillis > limitMillis.coerceIn(settings.minSilenceMillis, settings.silenceMillis)
    }

    fun observe(
        micros: Long,
        reportedLoadPermille: Int?,
        nowMillis: Long,
        settings: PickerSettings,
    ) {
        // The first observation counts in full. Averaged with zero, a slow target would only show after ten calls.
        val old = if (latencyMicros == 0.0) 0.0 else decay(nowMillis, settings) * OLD_WEIGHT
        latencyMicros = (latencyMicros * old + micros * NEW_WEIGHT) / (old + NEW_WEIGHT)
        if (reportedLoadPermille != null) loadPermille = reportedLoadPermille.toDouble()
        observedMillis = nowMillis
    }

    /**
     * Records the load reported with a refusal. The latency estimate is carried over, since a refusal is no evidence of
     * it.
     */
    fun observeLoad(
        reportedLoadPermille: Int,
        nowMillis: Long,
        settings: PickerSettings,
    ) {
        latencyMicros = latencyMicros(nowMillis, settings)
        loadPermille = reportedLoadPermille.toDouble()
        observedMillis = nowMillis
    }

    fun latencyMicros(
        nowMillis: Long,
        settings: PickerSettings,
    ): Double = latencyMicros * decay(nowMillis, settings)

    /**
     * Returns the last reported load, decayed with its age, or this node's calls in flight in permille of [slots] if
     * higher.
     */
    fun loadPermille(
        slots: Int,
        nowMillis: Long,
        settings: PickerSettings,
    ): Double {
        val own = inFlight.get() * FULL_PERMILLE / slots.coerceAtLeast(1)
        return maxOf(own, loadPermille * decay(nowMillis, settings))
    }

    fun observeEstimate(
        estimate: ResponseTimeEstimate,
        nowMillis: Long,
    ) {
        ownerEstimate = estimate to nowMillis
    }

    /**
     * Returns the response time that follows from the owner's latest estimate, or null if there is none. As the
     * estimate grows old, the wait loses its weight and the service time approaches the usual one. A new call waits at
     * least for this node's calls in flight beyond [slots].
     */
    fun ownerEstimateMicros(
        slots: Int,
        nowMillis: Long,
        settings: PickerSettings,
    ): Double? {
        val (estimate, arrivalMillis) = ownerEstimate ?: return null
        val age = (nowMillis - arrivalMillis).coerceAtLeast(0)
        val weight = ResponseTimeEstimator.halved(age, ResponseTimeEstimator.WORK_DURATION_HALF_LIFE_MILLIS)
        val usual = estimate.usualServiceMicros
        val service = usual + (estimate.serviceMicros - usual) * weight
        // Load above the slots is in the wait. Below, calls that arrive unevenly still wait for one another.
        val load = (loadPermille(slots, nowMillis, settings) / FULL_PERMILLE).coerceAtMost(1.0)
        val ownWait = (inFlight.get() + 1 - slots).coerceAtLeast(0) * service / slots.coerceAtLeast(1)
        // A queue that a slow phase has left outlasts it, so the wait keeps its weight as long as reported load.
        val wait = estimate.waitMicros * ResponseTimeEstimator.halved(age, settings.observationHalfLifeMillis)
        return maxOf(wait, ownWait) + service * (1 + load * load * load)
    }

    private fun decay(
        nowMillis: Long,
        settings: PickerSettings,
    ): Double {
        val age = (nowMillis - observedMillis).coerceAtLeast(0)
        return if (age == 0L) 1.0 else exp(-LN_2 * age / settings.observationHalfLifeMillis)
    }

    private companion object {
        const val OLD_WEIGHT = 0.9
        const val NEW_WEIGHT = 0.1
        const val FULL_PERMILLE = 1_000.0
        const val MICROS_PER_MILLI = 1_000
        val LN_2 = ln(2.0)
    }
}

/** Statistics by node. Those of a new incarnation start empty. */
internal class TargetStatsMap {
    private val stats = ConcurrentHashMap<NodeId, TargetStats>()

    fun of(
        target: TargetEndpoint,
        nowMillis: Long,
    ): TargetStats {
        val known = stats[target.node]
        if (known != null && known.incarnation >= target.incarnation) return known
        return stats.compute(target.node) { _, old ->
            if (old != null &&
                old.incarnation >= target.incarnation
            ) {
                old
            } else {
                TargetStats(target.incarnation, nowMillis)
            }
        }!!
    }

    fun retain(nodes: Set<NodeId>) {
        stats.keys.retainAll(nodes)
    }
}
