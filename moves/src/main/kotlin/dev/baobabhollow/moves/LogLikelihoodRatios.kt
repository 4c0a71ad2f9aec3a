package dev.baobabhollow.moves

import kotlin.math.exp
import kotlin.math.ln
import kotlin.math.max
import kotlin.math.min

/**
 * Counts of both releases in one cell: [newHits] of [newCalls] and [oldHits] of [oldCalls] calls failed or were slow.
 */
internal data class PairedCounts(
    val newCalls: Long,
    val newHits: Long,
    val oldCalls: Long,
    val oldHits: Long,
)

/**
 * Returns for each odds ratio in [alternatives] the logarithm of an e-value against "the odds of a hit on the new
 * release are at most [nullOdds] times those on the old one".
 *
 * Given the total number of hits, the hits of the new release follow Fisher's noncentral hypergeometric distribution,
 * which depends on the odds ratio alone. The unknown rate of hits, which may change from cell to cell, cancels out. The
 * ratio of two such likelihoods increases with the hits of the new release, hence its mean is at most 1 for every odds
 * ratio up to [nullOdds].
 */
internal fun pairedLogRatios(
    counts: PairedCounts,
    nullOdds: Double,
    alternatives: DoubleArray,
): DoubleArray {
    val hits = counts.newHits + counts.oldHits
    val minNewHits = max(0L, hits - counts.oldCalls)
    val maxNewHits = min(counts.newCalls, hits)
    if (minNewHits == maxNewHits) return DoubleArray(alternatives.size)
    val terms = hypergeometricLogTerms(counts, hits, minNewHits, maxNewHits)
    val nullNormalizer = logNormalizer(terms, minNewHits, ln(nullOdds))
    return DoubleArray(alternatives.size) { index ->
        val logOdds = ln(alternatives[index])
        counts.newHits * (logOdds - ln(nullOdds)) + nullNormalizer - logNormalizer(terms, minNewHits, logOdds)
    }
}

private fun hypergeometricLogTerms(
    counts: PairedCounts,
    hits: Long,
    minNewHits: Long,
    maxNewHits: Long,
): DoubleArray {
    val terms = DoubleArray((maxNewHits - minNewHits + 1).toInt())
    for (index in 1 until terms.size) {
        val k = minNewHits + index - 1
        val up = (counts.newCalls - k).toDouble() * (hits - k)
        val down = (k + 1).toDouble() * (counts.oldCalls - hits + k + 1)
        terms[index] = terms[index - 1] + ln(up / down)
    }
    return terms
}

private fun logNormalizer(
    terms: DoubleArray,
    minNewHits: Long,
    logOdds: Double,
): Double {
    var highest = Double.NEGATIVE_INFINITY
    for (index in terms.indices) highest = max(highest, terms[index] + (minNewHits + index) * logOdds)
    var sum = 0.0
    for (index in terms.indices) sum += exp(terms[index] + (minNewHits + index) * logOdds - highest)
    return highest + ln(sum)
}

/**
 * Returns for each odds ratio in [alternatives] the logarithm of an e-value against "a call is a hit with a probability
 * of at most [nullShare]", from [hits] of [calls]. Binomial likelihood ratios also increase with the hits.
 */
internal fun referenceLogRatios(
    calls: Long,
    hits: Long,
    nullShare: Double,
    alternatives: DoubleArray,
): DoubleArray {
    val nullOdds = nullShare / (1 - nullShare)
    return DoubleArray(alternatives.size) { index ->
        val odds = nullOdds * alternatives[index]
        val share = odds / (1 + odds)
        hits * ln(share / nullShare) + (calls - hits) * ln((1 - share) / (1 - nullShare))
    }
}

/** Returns ln(exp([first]) + exp([second])). */
internal fun addLogs(
    first: Double,
    second: Double,
): Double {
    val high = max(first, second)
    if (high == Double.NEGATIVE_INFINITY) return high
    return high + ln(exp(first - high) + exp(second - high))
}
