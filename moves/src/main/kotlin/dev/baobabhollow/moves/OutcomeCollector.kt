package dev.baobabhollow.moves

import dev.baobabhollow.model.FailureDomainId
import dev.baobabhollow.model.LatencyHistogram
import dev.baobabhollow.model.MovePlan
import dev.baobabhollow.model.NodeId
import dev.baobabhollow.model.OutcomeSummary
import dev.baobabhollow.model.RouteId
import java.util.TreeMap
import java.util.TreeSet
import kotlin.math.max

/** Sorts summaries into time windows, without repeated and malformed ones and without latencies during warm-up. */
internal class OutcomeCollector(
    private val plan: MovePlan,
    private val policy: MovePolicy,
) {
    private data class SummaryKey(
        val node: NodeId,
        val route: RouteId,
        val isNew: Boolean,
    )

    private class WarmUp(
        val firstEndsAtMillis: Long,
        var calls: Long = 0,
    )

    private val seen = TreeMap<Long, MutableSet<SummaryKey>>()
    private var forgottenBeforeMillis = Long.MIN_VALUE
    private val warmUps = HashMap<NodeId, WarmUp>()

    /** Outcomes that have not been compared yet. */
    val windows = OutcomeWindows(policy.windowMillis)

    /** Load that the new release shed recently. */
    val shedHistory = ShedHistory(policy.shedShare)

    /** The old release's outcomes by route. */
    val references = TreeMap<RouteId, RouteReference>()

    /** Calls of the new release by route. */
    val newCalls = TreeMap<RouteId, Long>()

    /** Failed calls of the new release. */
    var newErrors = 0L
        private set

    /** Calls of the new release whose latencies count. */
    var timedCalls = 0L
        private set

    /** Failure domains in which the new release had calls. */
    val newDomains = TreeSet<FailureDomainId>()

    /** Adds [summary] unless it is repeated, malformed, or of another service or release. */
    fun add(summary: OutcomeSummary) {
        val isNew = summary.release == plan.to
        if (summary.service != plan.service || !(isNew || summary.release == plan.from)) return
        if (!isWellFormed(summary) || summary.endsAtMillis < forgottenBeforeMillis) return
        val repeats = seen.getOrPut(summary.endsAtMillis) { HashSet() }
        if (!repeats.add(SummaryKey(summary.node, summary.route, isNew))) return
        if (isNew) addNew(summary) else addOld(summary)
    }

    /** Bounds every number, so that no value from the network makes a sum overflow. */
    private fun isWellFormed(summary: OutcomeSummary) =
        summary.calls in 0..MAX_CALLS &&
            summary.shed in 0..MAX_CALLS &&
            summary.errors in 0..summary.calls &&
            summary.endsAtMillis in plan.startAtMillis - MAX_SKEW_MILLIS..plan.watchUntilMillis + MAX_SKEW_MILLIS

    /**
     * Returns the counts of slow calls, or null if the histogram cannot be decoded or holds more values than there are
     * calls. The errors of such a summary still count.
     */
    private fun countLatencies(
        summary: OutcomeSummary,
        reference: RouteReference?,
    ): OutcomeCounts? {
        val slowMicros = reference?.slowMicros ?: Long.MAX_VALUE
        val verySlowMicros = reference?.verySlowMicros ?: Long.MAX_VALUE
        var timed = 0L
        var slow = 0L
        var verySlow = 0L
        try {
            LatencyHistogram.forEachEncoded(summary.latency) { micros, occurrences ->
                timed += occurrences
                if (micros > slowMicros) slow += occurrences
                if (micros > verySlowMicros) verySlow += occurrences
            }
        } catch (_: IllegalArgumentException) {
            return null
        }
        return if (timed <= summary.calls) OutcomeCounts(summary.calls, summary.errors, timed, slow, verySlow) else null
    }

    private fun addOld(summary: OutcomeSummary) {
        val reference = references.getOrPut(summary.route) { RouteReference() }
        val timed = countLatencies(summary, reference)
        val counts = timed.takeIf { reference.slowMicros != null } ?: OutcomeCounts(summary.calls, summary.errors)
        windows.at(CellKey(summary.route, summary.failureDomain), summary.endsAtMillis).old += counts
        reference.recordLatest(windows.endOf(summary.endsAtMillis), counts)
        reference.add(summary.calls, summary.errors, summary.latency.takeIf { timed != null })
    }

    private fun addNew(summary: OutcomeSummary) {
        newCalls.merge(summary.route, summary.calls, Long::plus)
        newErrors += summary.errors
        if (summary.calls > 0) newDomains += summary.failureDomain
        val counts = countNew(summary)
        timedCalls += counts.timed
        val window = windows.at(CellKey(summary.route, summary.failureDomain), summary.endsAtMillis)
        window.new += counts
        window.newForReference += counts
        shedHistory.record(summary.failureDomain, windows.endOf(summary.endsAtMillis), summary.calls, summary.shed)
    }

    /** Counts latencies only after the target's warm-up, and once the limits of slow calls are known. */
    private fun countNew(summary: OutcomeSummary): OutcomeCounts {
        val reference = references[summary.route]
        val isWarm = recordWarmUp(summary)
        val counts = if (isWarm && reference?.slowMicros != null) countLatencies(summary, reference) else null
        return counts ?: OutcomeCounts(summary.calls, summary.errors)
    }

    private fun recordWarmUp(summary: OutcomeSummary): Boolean {
        val warmUp = warmUps.getOrPut(summary.node) { WarmUp(summary.endsAtMillis) }
        val isWarm =
            warmUp.calls >= policy.warmUpCalls &&
                summary.endsAtMillis - warmUp.firstEndsAtMillis >= policy.warmUpMillis
        warmUp.calls += summary.calls
        return isWarm
    }

    /** Recomputes the limits of slow calls and returns the routes whose limits changed. */
    fun refreshReferences(): Set<RouteId> = references.filterValues { it.refresh() }.keys

    /**
     * Forgets which summaries that ended before [beforeMillis] have arrived. Such summaries are ignored from then on.
     */
    fun forgetBefore(beforeMillis: Long) {
        seen.headMap(beforeMillis).clear()
        forgottenBeforeMillis = max(forgottenBeforeMillis, beforeMillis)
    }

    private companion object {
        /** Upper bound of the calls that one node answers between two summaries. */
        const val MAX_CALLS = 1_000_000_000L

        /** Summaries that end earlier before the move or later after it than this are ignored. */
        const val MAX_SKEW_MILLIS = 3_600_000L
    }
}
