package dev.baobabhollow.moves

import kotlin.math.exp
import kotlin.math.ln
import kotlin.math.max
import kotlin.math.min

/** Counts calls of both releases in one cell: [newHits] of [newCalls] and [oldHits] of [oldCalls] were bad or slow. */
internal data class PairedCounts(
    val newCalls: Long,
    val newHits: Long,
    val oldCalls: Long,
    val oldHits: Long,
)

/**
 * Returns for each odds ratio in [alternatives] the logarithm of an e-value against "the odds of a hit on the new release
 * are at most [nullOdds] times those on the old one".
 *
 * Given the number of hits in all, the hits of the new release follow Fisher's noncentral hypergeometric distribution,
 * which depends on the odds ratio alone. So the unknown rate of hits, which may change from cell to cell, drops out. The
 * ratio of two such likelihoods is increasing in the hits, hence its mean is at most 1 for every odds ratio up to
 * [nullOdds].
 */
internal fun pairedLogRatios(
    counts: PairedCounts,
    nullOdds: Double,
    alternatives: DoubleArray,
): DoubleArray {
    val hits = counts.newHits + counts.oldHits
    val least = max(0L, hits - counts.oldCalls)
    val most = min(counts.newCalls, hits)
    if (least == most) return DoubleArray(alternatives.size)
    val terms = hypergeometricLogTerms(counts, hits, least, most)
    val nullNormalizer = logNormalizer(terms, least, ln(nullOdds))
    return DoubleArray(alternatives.size) { index ->
        val logOdds = ln(alternatives[index])
        counts.newHits * (logOdds - ln(nullOdds)) + nullNormalizer - logNormalizer(terms, least, logOdds)
    }
}

private fun hypergeometricLogTerms(
    counts: PairedCounts,
    hits: Long,
    least: Long,
    most: Long,
): DoubleArray {
    val terms = DoubleArray((most - least + 1).toInt())
    for (index in 1 until terms.size) {
        val k = least + index - 1
        val up = (counts.newCalls - k).toDouble() * (hits - k)
        val down = (k + 1).toDouble() * (counts.oldCalls - hits + k + 1)
        terms[index] = terms[index - 1] + ln(up / down)
    }
    return terms
}

private fun logNormalizer(
    terms: DoubleArray,
    least: Long,
    logOdds: Double,
): Double {
    var highest = Double.NEGATIVE_INFINITY
    for (index in terms.indices) highest = max(highest, terms[index] + (least + index) * logOdds)
    var sum = 0.0
    for (index in terms.indices) sum += exp(terms[index] + (least + index) * logOdds - highest)
    return highest + ln(sum)
}

/**
 * Returns for each odds ratio in [alternatives] the logarithm of an e-value against "a call is a hit with a probability of
 * at most [nullShare]", from [hits] of [calls]. Binomial likelihood ratios are increasing in the hits, too.
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
