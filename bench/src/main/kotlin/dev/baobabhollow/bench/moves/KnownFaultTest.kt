package dev.baobabhollow.bench.moves

import kotlin.math.ln

/**
 * Finds the earliest time at which a fault could be detected, as a reference for the judges: Wald's sequential
 * probability ratio test (SPRT) with full knowledge of the fault, its size, its start and the old release's rates, and
 * without delay.
 */
internal class KnownFaultTest(
    falseAlarmRate: Double,
) {
    private val threshold = ln(1 / falseAlarmRate)
    private var logLikelihoodRatio = 0.0

    /** Epoch milliseconds at which the likelihood ratio first reached its threshold, or null. */
    var provenAtMillis: Long? = null
        private set

    /**
     * Adds one call affected by [fault]. [zScore] is the distance of its log latency from the old release's mean, in
     * standard deviations.
     */
    fun count(
        route: RouteTraffic,
        fault: Conditions,
        isError: Boolean,
        zScore: Double,
        atMillis: Long,
    ) {
        if (provenAtMillis != null) return
        if (fault.extraErrorShare > 0) {
            val faultyErrorShare = (route.errorShare + fault.extraErrorShare).coerceAtMost(0.99)
            logLikelihoodRatio +=
                if (isError) {
                    ln(faultyErrorShare / route.errorShare)
                } else {
                    ln((1 - faultyErrorShare) / (1 - route.errorShare))
                }
        }
        if (fault.slowFactor > 1) {
            val shift = ln(fault.slowFactor) / route.sigma
            logLikelihoodRatio += zScore * shift - shift * shift / 2
        }
        if (logLikelihoodRatio >= threshold) provenAtMillis = atMillis
    }
}
