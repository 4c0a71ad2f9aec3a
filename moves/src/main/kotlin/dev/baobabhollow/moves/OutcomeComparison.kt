package dev.baobabhollow.moves

import dev.baobabhollow.model.FailureDomainId

/**
 * Passes the outcomes of the new release to [evidence] twice: paired with those of the old release in the same cell and
 * time window, and for the comparison with the reference.
 *
 * Cells with too few calls of the old release for a useful comparison are merged into longer windows. Which outcomes
 * are compared depends on numbers of calls and times alone, never on errors or latencies, so the e-value of every
 * comparison has a mean of at most 1 under the null hypothesis.
 */
internal class OutcomeComparison(
    private val policy: MovePolicy,
    private val collector: OutcomeCollector,
    private val evidence: FaultEvidence,
) {
    private val longWindows = OutcomeWindows(policy.windowMillis * LONG_WINDOWS)

    /** Compares the outcomes that have arrived by [nowMillis], while the new release has a share of [sharePermille]. */
    fun advance(
        sharePermille: Int,
        nowMillis: Long,
    ) {
        val expectedOldShare = 1 - sharePermille / FULL_PERMILLE
        collector.windows.forEach { end, cells ->
            val shedding = sheddingDomains(end)
            val isClosed = end + policy.graceMillis <= nowMillis
            cells.forEach { (cell, window) ->
                if (cell.failureDomain in shedding) window.dropLatencies()
                if (hasEnoughOldCalls(window, expectedOldShare)) compareReleases(cell, window)
                if (isClosed) compareWithReference(cell, window, end)
            }
        }
        longWindows.forEach { _, cells ->
            cells.forEach { (cell, window) ->
                if (hasEnoughOldCalls(window, expectedOldShare)) compareReleases(cell, window)
            }
        }
        expireWindows(nowMillis)
        collector.shedHistory.forget(nowMillis)
        dropOutdatedLatencies()
    }

    /**
     * Returns the domains that shed load, if they are at most half; shedding in more domains may be the release's
     * fault.
     */
    private fun sheddingDomains(endMillis: Long): Set<FailureDomainId> {
        val shedding = collector.shedHistory.sheddingAt(endMillis)
        return if (shedding.size * 2 <= collector.newDomains.size) shedding else emptySet()
    }

    /**
     * True if waiting for more calls of the old release would add little. A hit is the stronger evidence, the more
     * calls of the old release it is compared with.
     */
    private fun hasEnoughOldCalls(
        window: CellWindow,
        expectedOldShare: Double,
    ): Boolean {
        val expectedRatio = expectedOldShare / (1 - expectedOldShare).coerceAtLeast(MIN_NEW_SHARE)
        val wanted = window.new.calls * expectedRatio.coerceAtMost(USEFUL_RATIO) / 2
        return window.old.calls >= USEFUL_OLD_CALLS && window.old.calls >= wanted
    }

    private fun compareReleases(
        cell: CellKey,
        window: CellWindow,
    ) {
        if (window.new.calls == 0L || window.old.calls == 0L) return
        evidence.comparePaired(cell, window.new, window.old)
        window.new = OutcomeCounts.NONE
        window.old = OutcomeCounts.NONE
    }

    private fun compareWithReference(
        cell: CellKey,
        window: CellWindow,
        endMillis: Long,
    ) {
        if (window.newForReference.calls == 0L) return
        evidence.compareWithReference(cell, window.newForReference, endMillis)
        window.newForReference = OutcomeCounts.NONE
    }

    private fun expireWindows(nowMillis: Long) {
        val latest = nowMillis + MAX_SKEW_MILLIS
        collector.windows.prune(nowMillis - PAIRING_MILLIS, latest) { end, cells ->
            cells.forEach { (cell, window) ->
                compareWithReference(cell, window, end)
                val long = longWindows.at(cell, end)
                long.new += window.new
                long.old += window.old
            }
        }
        longWindows.prune(nowMillis - PAIRING_MILLIS, latest) { _, cells ->
            cells.forEach { (cell, window) -> compareReleases(cell, window) }
        }
    }

    private fun dropOutdatedLatencies() {
        val changed = collector.refreshReferences()
        if (changed.isEmpty()) return
        collector.windows.dropLatencies(changed)
        longWindows.dropLatencies(changed)
    }

    private companion object {
        const val FULL_PERMILLE = 1_000.0

        /** Calls of the old release from which one hit on the new release is strong evidence. */
        const val USEFUL_OLD_CALLS = 8L

        /** Calls of the old release for each of the new one beyond which more of them add little evidence. */
        const val USEFUL_RATIO = 40.0
        const val MIN_NEW_SHARE = 0.001

        /** Length of the windows for rare calls, as a multiple of the usual one. */
        const val LONG_WINDOWS = 60L

        /** Time after the end of a window during which it waits for calls of the other release. */
        const val PAIRING_MILLIS = 3_000L

        /** Windows that end further ahead than this, because a node's clock is ahead, are compared at once. */
        const val MAX_SKEW_MILLIS = 10_000L
    }
}
