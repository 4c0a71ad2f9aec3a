package dev.baobabhollow.moves

import dev.baobabhollow.model.LatencyHistogram
import java.util.TreeMap
import kotlin.math.sqrt

/**
 * Outcomes of the old release on one route: errors, latencies from which the limits of slow calls are derived, and the
 * counts of the latest windows.
 */
internal class RouteReference {
    private val latencies = LatencyHistogram()
    private val latest = TreeMap<Long, OutcomeCounts>()
    private var countAtRefresh = 0L

    /** Latency in microseconds above which a call is slow, or null before enough calls. */
    var slowMicros: Long? = null
        private set

    /** Latency in microseconds above which a call is very slow, or null before enough calls. */
    var verySlowMicros: Long? = null
        private set

    /** Calls of the old release. */
    var calls = 0L
        private set

    /** Failed calls of the old release. */
    var errors = 0L
        private set

    /** Adds outcomes of the old release; [encodedLatencies] is null if they cannot be decoded. */
    fun add(
        calls: Long,
        errors: Long,
        encodedLatencies: ByteArray?,
    ) {
        this.calls += calls
        this.errors += errors
        encodedLatencies?.let(latencies::mergeEncoded)
    }

    /**
     * Recomputes the limits when the calls have grown by half, and returns whether they changed. A limit depends only
     * on calls that precede those it is applied to, so the e-values keep a mean of at most 1 under the null hypothesis.
     */
    fun refresh(): Boolean {
        if (latencies.count < MIN_CALLS || latencies.count < countAtRefresh * REFRESH_GROWTH) return false
        countAtRefresh = latencies.count
        slowMicros = latencies.quantileMicros(1 - SLOW_SHARE)
        verySlowMicros = latencies.quantileMicros(1 - VERY_SLOW_SHARE)
        return true
    }

    /** Adds [counts] of the old release to the time window that ends at [endMillis]. */
    fun recordLatest(
        endMillis: Long,
        counts: OutcomeCounts,
    ) {
        latest.merge(endMillis, counts, OutcomeCounts::plus)
        while (latest.size > LATEST_WINDOWS) latest.pollFirstEntry()
    }

    /** Returns an upper confidence limit of the probability that a call of the old release is a hit by [metric]. */
    fun hitLimit(metric: Metric): Double =
        when (metric) {
            Metric.ERRORS -> upperLimit(calls, errors)
            Metric.SLOW -> SLOW_SHARE
            Metric.VERY_SLOW -> VERY_SLOW_SHARE
        }

    /** Returns the share of hits by [metric] in all calls of the old release. */
    fun hitShare(metric: Metric): Double =
        when (metric) {
            Metric.ERRORS -> errors.toDouble() / calls.coerceAtLeast(1)
            Metric.SLOW -> SLOW_SHARE
            Metric.VERY_SLOW -> VERY_SLOW_SHARE
        }

    /** Returns the share of hits by [metric] in the windows that end between [fromMillis] and [untilMillis]. */
    fun latestHitShare(
        metric: Metric,
        fromMillis: Long,
        untilMillis: Long,
    ): Double {
        val counts =
            latest.subMap(fromMillis, true, untilMillis, true).values.fold(OutcomeCounts.NONE, OutcomeCounts::plus)
        return metric.hits(counts).toDouble() / metric.calls(counts).coerceAtLeast(1)
    }

    private fun upperLimit(
        calls: Long,
        hits: Long,
    ): Double {
        val size = calls + PSEUDO_CALLS
        val share = (hits + PSEUDO_CALLS / 2) / size
        return share + STANDARD_ERRORS * sqrt(share * (1 - share) / size)
    }

    /** Quantiles that define slow calls. */
    companion object {
        /** Share of the old release's calls that are slow. */
        const val SLOW_SHARE = 0.1

        /** Share of the old release's calls that are very slow. */
        const val VERY_SLOW_SHARE = 0.01
        private const val LATEST_WINDOWS = 30
        private const val MIN_CALLS = 100L
        private const val REFRESH_GROWTH = 1.5

        /**
         * Width of the Agresti-Coull interval (99.4% one-sided), which adds the square of this number as pseudo-calls.
         */
        private const val STANDARD_ERRORS = 2.5
        private const val PSEUDO_CALLS = STANDARD_ERRORS * STANDARD_ERRORS
    }
}
