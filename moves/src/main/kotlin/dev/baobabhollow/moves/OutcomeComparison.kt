package dev.baobabhollow.moves

import dev.baobabhollow.model.FailureDomainId

/**
 * Passes the outcomes of the new release to [evidence], beside those of the old one in the same cell and time window and
 * once more against the reference.
 *
 * Cells with too few calls of the old release for a useful comparison move on to longer windows. Which outcomes are
 * compared depends on numbers of calls and times alone, never on errors or latencies, so every comparison is a fair bet
 * under the null hypothesis.
 */
internal class OutcomeComparison(
    private val policy: MovePolicy,
    private val intake: OutcomeIntake,
    private val evidence: FaultEvidence,
) {
    private val longWindows = OutcomeWindows(policy.windowMillis * LONG_WINDOWS)

    /** Compares what has arrived by [nowMillis], at a [sharePermille] of the new release. */
    fun advance(
        sharePermille: Int,
        nowMillis: Long,
    ) {
        val expectedOldShare = 1 - sharePermille / FULL_PERMILLE
        intake.windows.forEach { end, cells ->
            val shedding = sheddingDomains(end)
            val isClosed = end + policy.graceMillis <= nowMillis
            cells.forEach { (cell, window) ->
                if (cell.failureDomain in shedding) window.dropLatencies()
                if (isUseful(window, expectedOldShare)) comparePair(cell, window)
                if (isClosed) compareWithReference(cell, window, end)
            }
        }
        longWindows.forEach { _, cells ->
            cells.forEach { (cell, window) -> if (isUseful(window, expectedOldShare)) comparePair(cell, window) }
        }
        moveOn(nowMillis)
        intake.shedHistory.forget(nowMillis)
        dropOutdatedLatencies()
    }

    /** Shedding that is confined to a minority of domains concerns targets, not the release. */
    private fun sheddingDomains(endMillis: Long): Set<FailureDomainId> {
        val shedding = intake.shedHistory.sheddingAt(endMillis)
        return if (shedding.size * 2 <= intake.newDomains.size) shedding else emptySet()
    }

    /** One hit is the stronger evidence the more calls of the old release stand beside it, so waiting for them pays. */
    private fun isUseful(
        window: CellWindow,
        expectedOldShare: Double,
    ): Boolean {
        val expectedRatio = expectedOldShare / (1 - expectedOldShare).coerceAtLeast(LEAST_NEW_SHARE)
        val wanted = window.new.calls * expectedRatio.coerceAtMost(USEFUL_RATIO) / 2
        return window.old.calls >= USEFUL_OLD_CALLS && window.old.calls >= wanted
    }

    private fun comparePair(
        cell: CellKey,
        window: CellWindow,
    ) {
        if (window.new.calls == 0L || window.old.calls == 0L) return
        evidence.comparePaired(cell, window.new, window.old)
        window.new = SideCounts.NONE
        window.old = SideCounts.NONE
    }

    private fun compareWithReference(
        cell: CellKey,
        window: CellWindow,
        endMillis: Long,
    ) {
        if (window.newForReference.calls == 0L) return
        evidence.compareWithReference(cell, window.newForReference, endMillis)
        window.newForReference = SideCounts.NONE
    }

    private fun moveOn(nowMillis: Long) {
        val latest = nowMillis + MAX_SKEW_MILLIS
        intake.windows.prune(nowMillis - PAIRING_MILLIS, latest) { end, cells ->
            cells.forEach { (cell, window) ->
                compareWithReference(cell, window, end)
                val long = longWindows.at(cell, end)
                long.new += window.new
                long.old += window.old
            }
        }
        longWindows.prune(nowMillis - PAIRING_MILLIS, latest) { _, cells ->
            cells.forEach { (cell, window) -> comparePair(cell, window) }
        }
    }

    private fun dropOutdatedLatencies() {
        val changed = intake.refreshReferences()
        if (changed.isEmpty()) return
        intake.windows.dropLatencies(changed)
        longWindows.dropLatencies(changed)
    }

    private companion object {
        const val FULL_PERMILLE = 1_000.0

        /** Calls of the old release from which one hit on the new release is strong evidence. */
        const val USEFUL_OLD_CALLS = 8L

        /** Calls of the old release for each of the new one beyond which more of them add little evidence. */
        const val USEFUL_RATIO = 40.0
        const val LEAST_NEW_SHARE = 0.001

        /** Length of the windows for rare calls, as a multiple of the usual one. */
        const val LONG_WINDOWS = 60L

        /** Time after the end of a window for which it waits for a counterpart. */
        const val PAIRING_MILLIS = 3_000L

        /** Clocks of nodes may be this far ahead before their windows are compared at once. */
        const val MAX_SKEW_MILLIS = 10_000L
    }
}
