package dev.baobabhollow.calls

import dev.baobabhollow.model.NodeId
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger
import kotlin.math.exp
import kotlin.math.ln

/**
 * Holds what one entry node has observed of one incarnation of a target. Written by several event loops; a lost update of
 * an average costs one observation.
 */
internal class TargetStats(
    val incarnation: Long,
    val firstSeenMillis: Long,
) {
    val inFlight = AtomicInteger()

    /** Time of the last answer or, if nothing was in flight after it, of the first call since. */
    @Volatile
    private var waitingSinceMillis = firstSeenMillis

    @Volatile
    private var latencyMicros = 0.0

    @Volatile
    private var loadPermille = 0.0

    @Volatile
    private var observedMillis = firstSeenMillis

    fun start(nowMillis: Long) {
        if (inFlight.getAndIncrement() == 0) waitingSinceMillis = nowMillis
    }

    fun answered(nowMillis: Long) {
        waitingSinceMillis = nowMillis
    }

    /** Tells whether calls wait for several times as long as answers of the target usually take. */
    fun isSilent(
        nowMillis: Long,
        settings: PickerSettings,
    ): Boolean {
        if (inFlight.get() == 0) return false
        val usualMillis = (latencyMicros / MICROS_PER_MILLI).toLong()
        val known = if (usualMillis == 0L) settings.silenceMillis else usualMillis * settings.silenceLatencies
        return nowMillis - waitingSinceMillis > known.coerceIn(settings.minSilenceMillis, settings.silenceMillis)
    }

    fun observe(
        micros: Long,
        reportedLoadPermille: Int?,
        nowMillis: Long,
        settings: PickerSettings,
    ) {
        // The first observation counts in full; averaged with nothing, it would take ten calls to show a slow target.
        val old = if (latencyMicros == 0.0) 0.0 else retained(nowMillis, settings) * OLD_WEIGHT
        latencyMicros = (latencyMicros * old + micros * NEW_WEIGHT) / (old + NEW_WEIGHT)
        if (reportedLoadPermille != null) loadPermille = reportedLoadPermille.toDouble()
        observedMillis = nowMillis
    }

    /** Takes the load that a refusal tells, which says nothing new about the latency. */
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
    ): Double = latencyMicros * retained(nowMillis, settings)

    /** Returns the load that the owner reported last, losing weight with time, or the own calls in flight if higher. */
    fun loadPermille(
        slots: Int,
        nowMillis: Long,
        settings: PickerSettings,
    ): Double {
        val own = inFlight.get() * FULL_PERMILLE / slots.coerceAtLeast(1)
        return maxOf(own, loadPermille * retained(nowMillis, settings))
    }

    private fun retained(
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

/** Keeps the statistics of all targets; a new incarnation starts anew. */
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
