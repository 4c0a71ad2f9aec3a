package dev.baobabhollow.calls

import java.util.TreeMap

/** Estimates which part of the slots each rank takes, from the ranks of the latest calls that got one. */
internal class RankShares {
    private val shares = TreeMap<Int, Double>()

    fun note(rank: Int) {
        shares.putIfAbsent(rank, 0.0)
        shares.replaceAll { known, share -> share + ((if (known == rank) 1.0 else 0.0) - share) * WEIGHT }
    }

    /** Returns the part of the slots that calls of higher ranks, which come first, leave for [rank]. */
    fun leftFor(rank: Int): Double = (1 - shares.headMap(rank, false).values.sum()).coerceAtLeast(LEAST)

    private companion object {
        /** Remembers about the last fifty calls. */
        const val WEIGHT = 0.02
        const val LEAST = 0.1
    }
}
