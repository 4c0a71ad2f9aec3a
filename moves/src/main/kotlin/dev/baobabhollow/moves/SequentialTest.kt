package dev.baobabhollow.moves

import dev.baobabhollow.model.FailureDomainId
import java.util.TreeMap
import kotlin.math.exp
import kotlin.math.ln
import kotlin.math.max
import kotlin.math.min

/**
 * Tests sequentially whether hits are more likely on the new release, as a mixture of e-processes over the odds ratios in
 * [alternatives] and over the time at which the fault begins.
 *
 * The wealth of each alternative follows M(t) = (M(t-1) + invested(t)) * E(t), where E(t) is an e-value given the past and
 * the sum of all investments is at most 1. Together with the part not yet invested it is a nonnegative supermartingale
 * that starts at 1, so by Ville's inequality it ever reaches 1/a with a probability of at most a.
 */
internal class SequentialTest(
    val alternatives: DoubleArray,
) {
    private val logWealth = DoubleArray(alternatives.size) { Double.NEGATIVE_INFINITY }
    private val logRises = TreeMap<FailureDomainId, DoubleArray>()
    private var pooledRise = 0.0

    /** Calls since the time from which the evidence points to a fault. */
    var segment = PairedCounts(0, 0, 0, 0)
        private set

    /** Adds [capital] to the wealth of every alternative; later evidence multiplies it. */
    fun invest(capital: Double) {
        for (index in logWealth.indices) logWealth[index] = addLogs(logWealth[index], ln(capital))
    }

    /** Multiplies in the e-values [logRatios] of one cell of [failureDomain]. */
    fun update(
        failureDomain: FailureDomainId,
        counts: PairedCounts,
        logRatios: DoubleArray,
    ) {
        val rises = logRises.getOrPut(failureDomain) { DoubleArray(alternatives.size) }
        for (index in logRatios.indices) {
            val step = min(logRatios[index], MAX_CELL_LOG_RATIO)
            logWealth[index] += step
            rises[index] = max(0.0, rises[index] + step)
        }
        extendSegment(counts, min(logRatios[alternatives.size / 2], MAX_CELL_LOG_RATIO))
    }

    private fun extendSegment(
        counts: PairedCounts,
        step: Double,
    ) {
        val base = if (pooledRise <= 0.0) PairedCounts(0, 0, 0, 0) else segment
        pooledRise = max(0.0, pooledRise + step)
        segment =
            PairedCounts(
                base.newCalls + counts.newCalls,
                base.newHits + counts.newHits,
                base.oldCalls + counts.oldCalls,
                base.oldHits + counts.oldHits,
            )
    }

    /** Returns the wealth averaged over the alternatives, as a logarithm. */
    fun logEvidence(): Double {
        val high = logWealth.max()
        if (high == Double.NEGATIVE_INFINITY) return high
        return high + ln(logWealth.sumOf { exp(it - high) } / logWealth.size)
    }

    /**
     * Tells whether the evidence is spread over domains: without its [strongest] domains it still exceeds a fixed level
     * and [leastShare] of all. One ill domain or target alone must not condemn a release. This can only suppress alarms
     * and leaves the error bound intact.
     */
    fun isSpread(
        strongest: Int,
        leastShare: Double,
    ): Boolean {
        val best = logWealth.indices.maxBy { logWealth[it] }
        val rises = logRises.values.map { it[best] }.sortedDescending()
        if (rises.size <= 1) return true
        val rest = rises.drop(strongest.coerceAtMost(rises.size - 1)).sum()
        return rest >= SPREAD_LOG_RATIO && rest >= leastShare * rises.sum()
    }

    private companion object {
        /** Limits what one cell adds, so that a burst of correlated outcomes (such as one pause) is no proof. */
        const val MAX_CELL_LOG_RATIO = 4.0

        /** Evidence that is needed outside the strongest domains; chance reaches it about once in exp(4) attempts. */
        const val SPREAD_LOG_RATIO = 4.0
    }
}
