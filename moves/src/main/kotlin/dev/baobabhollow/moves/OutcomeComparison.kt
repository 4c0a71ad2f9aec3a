package dev.baobabhollow.moves

import dev.baobabhollow.model.FailureDomainId

/**
 * Pairs the outcomes of both releases by time window and cell and passes them to [evidence].
 *
 * Outcomes that find no counterpart in their window move on to longer windows, and from these to the comparison with the
 * reference. Which outcomes are compared depends on numbers of calls and times alone, never on errors or latencies, so
 * every comparison is a fair bet under the null hypothesis.
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
            val isClosed = end + policy.graceMillis <= nowMillis
            val shedding = sheddingDomains(cells)
            cells.forEach { (cell, window) ->
                if (isClosed || isBalanced(window, expectedOldShare)) comparePair(cell, window, shedding)
                if (isClosed && expectedOldShare == 0.0) compareRest(cell, window, shedding)
            }
        }
        moveOn(nowMillis)
        val changed = intake.refreshReferences()
        if (changed.isEmpty()) return
        intake.windows.dropLatencies(changed)
        longWindows.dropLatencies(changed)
    }

    /** Shedding that is confined to a minority of domains concerns targets, not the release. */
    private fun sheddingDomains(cells: Map<CellKey, CellWindow>): Set<FailureDomainId> {
        val shedding = cells.filterValues { it.sheds }.keys.mapTo(HashSet()) { it.failureDomain }
        return if (shedding.size * 2 <= intake.newDomains.size) shedding else emptySet()
    }

    private fun isBalanced(
        window: CellWindow,
        expectedOldShare: Double,
    ): Boolean = window.old.calls * 2 >= (window.old.calls + window.new.calls) * expectedOldShare

    private fun comparePair(
        cell: CellKey,
        window: CellWindow,
        shedding: Set<FailureDomainId>,
    ) {
        if (window.new.calls == 0L || window.old.calls == 0L) return
        evidence.comparePaired(cell, withoutShedding(cell, window, shedding), window.old)
        window.new = SideCounts.NONE
        window.old = SideCounts.NONE
    }

    private fun compareRest(
        cell: CellKey,
        window: CellWindow,
        shedding: Set<FailureDomainId>,
    ) {
        if (window.new.calls == 0L) return
        evidence.compareWithReference(cell, withoutShedding(cell, window, shedding))
        window.new = SideCounts.NONE
    }

    private fun withoutShedding(
        cell: CellKey,
        window: CellWindow,
        shedding: Set<FailureDomainId>,
    ) = if (cell.failureDomain in shedding) window.new.withoutLatency() else window.new

    private fun moveOn(nowMillis: Long) {
        val latest = nowMillis + MAX_SKEW_MILLIS
        intake.windows.prune(nowMillis - PAIRING_MILLIS, latest) { end, cells ->
            val shedding = sheddingDomains(cells)
            cells.forEach { (cell, window) ->
                val long = longWindows.at(cell, end)
                long.new += withoutShedding(cell, window, shedding)
                long.old += window.old
            }
        }
        longWindows.prune(nowMillis - PAIRING_MILLIS, latest) { _, cells ->
            cells.forEach { (cell, window) ->
                comparePair(cell, window, emptySet())
                compareRest(cell, window, emptySet())
            }
        }
    }

    private companion object {
        const val FULL_PERMILLE = 1_000.0

        /** Windows in which rare calls find a counterpart, as a multiple of the usual ones. */
        const val LONG_WINDOWS = 20L

        /** Time after the end of a window for which it waits for a counterpart. */
        const val PAIRING_MILLIS = 3_000L

        /** Clocks of nodes may be this far ahead before their windows are compared at once. */
        const val MAX_SKEW_MILLIS = 10_000L
    }
}
