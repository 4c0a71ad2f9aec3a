package dev.baobabhollow.bench.moves

import kotlin.math.ln

/**
 * Finds the earliest time at which anybody could see a fault: Wald's sequential probability ratio test that knows the
 * fault, its size, its beginning and the old release's rates, and sees each call at once.
 */
internal class KnownFaultTest(
    falseAlarmRate: Double,
) {
    private val limit = ln(1 / falseAlarmRate)
    private var logRatio = 0.0

    /** Time at which the ratio first reached its limit, or null. */
    var provenAtMillis: Long? = null
        private set

    /** Counts one call that meets [fault]. [deviate] is its latency in standard deviations from the old release's. */
    fun count(
        route: RouteTraffic,
        fault: Conditions,
        isError: Boolean,
        deviate: Double,
        atMillis: Long,
    ) {
        if (provenAtMillis != null) return
        if (fault.extraErrors > 0) {
            val bad = (route.errorShare + fault.extraErrors).coerceAtMost(0.99)
            logRatio += if (isError) ln(bad / route.errorShare) else ln((1 - bad) / (1 - route.errorShare))
        }
        if (fault.slowFactor > 1) {
            val shift = ln(fault.slowFactor) / route.sigma
            logRatio += deviate * shift - shift * shift / 2
        }
        if (logRatio >= limit) provenAtMillis = atMillis
    }
}
