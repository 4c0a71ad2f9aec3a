package dev.baobabhollow.moves

import dev.baobabhollow.model.LatencyHistogram
import kotlin.math.sqrt

/** Keeps what the old release did on one route: errors, and latencies from which the limits of a slow call follow. */
internal class RouteReference {
    private val latencies = LatencyHistogram()
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

    /** Adds outcomes of the old release. */
    fun add(
        calls: Long,
        errors: Long,
        histogram: LatencyHistogram,
    ) {
        this.calls += calls
        this.errors += errors
        latencies.merge(histogram)
    }

    /**
     * Recomputes the limits when the calls have grown by half. Returns whether they changed. Only calls before the ones
     * that are then compared set a limit, so the comparison stays a fair bet.
     */
    fun refresh(): Boolean {
        if (latencies.count < MIN_CALLS || latencies.count < countAtRefresh * REFRESH_GROWTH) return false
        countAtRefresh = latencies.count
        slowMicros = latencies.quantileMicros(1 - SLOW_SHARE)
        verySlowMicros = latencies.quantileMicros(1 - VERY_SLOW_SHARE)
        return true
    }

    /** Returns an upper confidence limit (Agresti-Coull, 3 standard errors) of the error probability. */
    fun errorLimit(): Double {
        val size = calls + PSEUDO_CALLS
        val share = (errors + PSEUDO_CALLS / 2) / size
        return share + STANDARD_ERRORS * sqrt(share * (1 - share) / size)
    }

    /** Holds the quantiles. */
    companion object {
        /** Share of the old release's calls that are slow. */
        const val SLOW_SHARE = 0.1

        /** Share of the old release's calls that are very slow. */
        const val VERY_SLOW_SHARE = 0.01
        private const val MIN_CALLS = 100L
        private const val REFRESH_GROWTH = 1.5
        private const val STANDARD_ERRORS = 3.0
        private const val PSEUDO_CALLS = 9.0
    }
}
