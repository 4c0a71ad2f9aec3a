package dev.baobabhollow.calls

import java.util.TreeMap

/** Exponentially weighted shares of the granted slots by rank. */
internal class RankShares {
    private val shares = TreeMap<Int, Double>()

    fun record(rank: Int) {
        shares.putIfAbsent(rank, 0.0)
        shares.replaceAll { known, share -> share + ((if (known == rank) 1.0 else 0.0) - share) * SMOOTHING_FACTOR }
    }

    /** Returns the share of the slots, at least [MIN_SHARE], that more urgent (lower) ranks leave for [rank]. */
    fun remainingShare(rank: Int): Double = (1 - shares.headMap(rank, false).values.sum()).coerceAtLeast(MIN_SHARE)

    private companion object {
        /** Averages over about the last 50 calls. */
        const val SMOOTHING_FACTOR = 0.02
        const val MIN_SHARE = 0.1
    }
}
