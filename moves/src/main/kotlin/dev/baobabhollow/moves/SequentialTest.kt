package dev.baobabhollow.moves

import dev.baobabhollow.model.FailureDomainId
import java.util.TreeMap
import kotlin.math.exp
import kotlin.math.ln
import kotlin.math.max
import kotlin.math.min

/**
 * Sequential test of whether hits are more likely on the new release: a mixture of e-processes over the odds ratios in
 * [alternatives] and over the time at which the fault begins.
 *
 * The wealth of each alternative follows M(t) = (M(t-1) + invested(t)) * E(t), where E(t) is an e-value given the past
 * and the sum of all investments is at most 1. Together with the part not yet invested it is a nonnegative
 * supermartingale that starts at 1, so by Ville's inequality it ever reaches 1/a with a probability of at most a.
 */
internal class SequentialTest(
    val alternatives: DoubleArray,
) {
    private val logWealth = DoubleArray(alternatives.size) { Double.NEGATIVE_INFINITY }
    private val logRises = TreeMap<FailureDomainId, DoubleArray>()
    private var pooledLogRise = 0.0

    /** Counts since the evidence began to point to a fault. */
    var countsSinceRise = PairedCounts(0, 0, 0, 0)
        private set

    /** Adds [capital] to the wealth of every alternative; later evidence multiplies it. */
    fun invest(capital: Double) {
        for (index in logWealth.indices) logWealth[index] = addLogs(logWealth[index], ln(capital))
    }

    /** Multiplies the wealth by the e-values of one cell of [failureDomain], given as logarithms in [logRatios]. */
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
        updateCountsSinceRise(counts, min(logRatios[alternatives.size / 2], MAX_CELL_LOG_RATIO))
    }

    private fun updateCountsSinceRise(
        counts: PairedCounts,
        step: Double,
    ) {
        val base = if (pooledLogRise <= 0.0) PairedCounts(0, 0, 0, 0) else countsSinceRise
        pooledLogRise = max(0.0, pooledLogRise + step)
        countsSinceRise =
            PairedCounts(
                base.newCalls + counts.newCalls,
                base.newHits + counts.newHits,
                base.oldCalls + counts.oldCalls,
                base.oldHits + counts.oldHits,
            )
    }

    /** Returns the logarithm of the mean wealth of the alternatives. */
    fun logEvidence(): Double {
        val high = logWealth.max()
        if (high == Double.NEGATIVE_INFINITY) return high
        return high + ln(logWealth.sumOf { exp(it - high) } / logWealth.size)
    }

    /**
     * True if the evidence is spread over domains: without the [strongest] domains it still reaches a fixed level and
     * [minShare] of the total. A single unhealthy domain or target must not cause a take-back. The check can only
     * suppress alarms, so the false alarm rate still holds.
     */
    fun isSpread(
        strongest: Int,
        minShare: Double,
    ): Boolean {
        val best = logWealth.indices.maxBy { logWealth[it] }
        val rises = logRises.values.map { it[best] }.sortedDescending()
        if (rises.size <= 1) return true
        val rest = rises.drop(strongest.coerceAtMost(rises.size - 1)).sum()
        return rest >= SPREAD_LOG_RATIO && rest >= minShare * rises.sum()
    }

    private companion object {
        /**
         * Limit of one cell's contribution, so that a burst of correlated outcomes (such as a pause) proves nothing.
         */
        const val MAX_CELL_LOG_RATIO = 4.0

        /** Evidence needed outside the strongest domains; chance alone reaches it about once in exp(4) attempts. */
        const val SPREAD_LOG_RATIO = 4.0
    }
}
