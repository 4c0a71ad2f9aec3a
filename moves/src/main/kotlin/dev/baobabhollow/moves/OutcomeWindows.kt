package dev.baobabhollow.moves

import dev.baobabhollow.model.FailureDomainId
import dev.baobabhollow.model.RouteId
import java.util.TreeMap

/** Key of the outcomes of one route in one failure domain. */
internal data class CellKey(
    val route: RouteId,
    val failureDomain: FailureDomainId,
) : Comparable<CellKey> {
    override fun compareTo(other: CellKey): Int = compareValuesBy(this, other, { it.route }, { it.failureDomain })
}

/**
 * Counts of calls of one release: [timed] of them have a usable latency, and [slow] and [verySlow] of those are slow.
 */
internal data class OutcomeCounts(
    val calls: Long = 0,
    val errors: Long = 0,
    val timed: Long = 0,
    val slow: Long = 0,
    val verySlow: Long = 0,
) {
    operator fun plus(other: OutcomeCounts) =
        OutcomeCounts(
            calls + other.calls,
            errors + other.errors,
            timed + other.timed,
            slow + other.slow,
            verySlow + other.verySlow,
        )

    /** Returns the counts without latencies. */
    fun withoutLatency() = copy(timed = 0, slow = 0, verySlow = 0)

    /** Constants. */
    companion object {
        /** Counts of no calls. */
        val NONE = OutcomeCounts()
    }
}

/** Outcomes of one cell and time window that have not been compared yet. */
internal class CellWindow {
    /** Outcomes of the new release to be compared with the old one. */
    var new = OutcomeCounts.NONE

    /** Outcomes of the old release to be compared with the new one. */
    var old = OutcomeCounts.NONE

    /** Outcomes of the new release to be compared with the reference. */
    var newForReference = OutcomeCounts.NONE

    /** Drops all latencies and keeps calls and errors. */
    fun dropLatencies() {
        new = new.withoutLatency()
        old = old.withoutLatency()
        newForReference = newForReference.withoutLatency()
    }
}

/** Sorts outcomes of both releases into time windows of [widthMillis] by cell. */
internal class OutcomeWindows(
    val widthMillis: Long,
) {
    private val windows = TreeMap<Long, TreeMap<CellKey, CellWindow>>()

    /** Returns the window of [cell] that holds the calls counted until [endsAtMillis]. */
    fun at(
        cell: CellKey,
        endsAtMillis: Long,
    ): CellWindow = windows.getOrPut(indexOf(endsAtMillis)) { TreeMap() }.getOrPut(cell) { CellWindow() }

    /** Returns the end of the window that holds the calls counted until [endsAtMillis]. */
    fun endOf(endsAtMillis: Long): Long = (indexOf(endsAtMillis) + 1) * widthMillis

    private fun indexOf(endsAtMillis: Long) = Math.floorDiv(endsAtMillis - 1, widthMillis)

    /** Calls [visit] for each window in order of time, with the time at which it ends. */
    fun forEach(visit: (endMillis: Long, cells: Map<CellKey, CellWindow>) -> Unit) =
        windows.forEach { (index, cells) -> visit((index + 1) * widthMillis, cells) }

    /** Drops the latencies of [routes], whose limits of slow calls have changed. */
    fun dropLatencies(routes: Set<RouteId>) =
        windows.values.forEach { cells ->
            cells.filterKeys { it.route in routes }.values.forEach { it.dropLatencies() }
        }

    /** Removes the windows that end before [endMillis] or after [latestMillis] and passes them to [drop]. */
    fun prune(
        endMillis: Long,
        latestMillis: Long,
        drop: (endMillis: Long, cells: Map<CellKey, CellWindow>) -> Unit,
    ) {
        val gone = windows.keys.filter { (it + 1) * widthMillis !in endMillis..latestMillis }
        gone.forEach { index -> windows.remove(index)?.let { drop((index + 1) * widthMillis, it) } }
    }
}
