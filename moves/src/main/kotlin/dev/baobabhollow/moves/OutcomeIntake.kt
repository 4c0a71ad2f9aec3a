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

/** Takes in summaries: drops repeats and malformed ones, leaves out warm-up, and sorts the rest into time windows. */
internal class OutcomeIntake(
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
    private val scratch = LatencyHistogram()
    private val warmUps = HashMap<NodeId, WarmUp>()

    /** Holds the outcomes that have not been tested yet. */
    val windows = OutcomeWindows(policy.windowMillis)

    /** Holds the old release's outcomes for each route. */
    val references = TreeMap<RouteId, RouteReference>()

    /** Counts the calls of the new release for each route. */
    val newCalls = TreeMap<RouteId, Long>()

    /** Failed calls of the new release. */
    var newErrors = 0L
        private set

    /** Calls of the new release whose latencies count. */
    var timedCalls = 0L
        private set

    /** Failure domains in which the new release had calls. */
    val newDomains = TreeSet<FailureDomainId>()

    /** Takes in [summary] unless it is a repeat, malformed, or of another service or release. */
    fun add(summary: OutcomeSummary) {
        val isNew = summary.release == plan.to
        if (summary.service != plan.service || !(isNew || summary.release == plan.from)) return
        if (!isWellFormed(summary) || summary.endsAtMillis < forgottenBeforeMillis) return
        val repeats = seen.getOrPut(summary.endsAtMillis) { HashSet() }
        if (!repeats.add(SummaryKey(summary.node, summary.route, isNew))) return
        val latency = decodeLatency(summary)
        if (isNew) addNew(summary, latency) else addOld(summary, latency)
    }

    private fun isWellFormed(summary: OutcomeSummary) =
        summary.calls >= 0 && summary.shed >= 0 && summary.errors in 0..summary.calls

    /** A histogram that cannot be decoded, or counts more values than calls, costs its latencies but not the errors. */
    private fun decodeLatency(summary: OutcomeSummary): LatencyHistogram? =
        try {
            scratch.load(summary.latency)
            scratch.takeIf { it.count <= summary.calls }
        } catch (_: IllegalArgumentException) {
            null
        }

    private fun addOld(
        summary: OutcomeSummary,
        latency: LatencyHistogram?,
    ) {
        val reference = references.getOrPut(summary.route) { RouteReference() }
        val window = windows.at(CellKey(summary.route, summary.failureDomain), summary.endsAtMillis)
        val counts = countSide(summary, latency, reference)
        window.old += counts
        reference.noteLatest(windows.endOf(summary.endsAtMillis), counts)
        reference.add(summary.calls, summary.errors, summary.latency.takeIf { latency != null })
    }

    private fun addNew(
        summary: OutcomeSummary,
        latency: LatencyHistogram?,
    ) {
        newCalls.merge(summary.route, summary.calls, Long::plus)
        newErrors += summary.errors
        if (summary.calls > 0) newDomains += summary.failureDomain
        val warm = takeWarmLatency(summary, latency)
        val window = windows.at(CellKey(summary.route, summary.failureDomain), summary.endsAtMillis)
        val counts = countSide(summary, warm, references[summary.route])
        window.new += counts
        window.newForReference += counts
        timedCalls += counts.timed
        if (summary.shed > policy.shedShare * (summary.calls + summary.shed)) window.sheds = true
    }

    private fun takeWarmLatency(
        summary: OutcomeSummary,
        latency: LatencyHistogram?,
    ): LatencyHistogram? {
        val warmUp = warmUps.getOrPut(summary.node) { WarmUp(summary.endsAtMillis) }
        val isWarm =
            warmUp.calls >= policy.warmUpCalls &&
                summary.endsAtMillis - warmUp.firstEndsAtMillis >= policy.warmUpMillis
        warmUp.calls += summary.calls
        return latency.takeIf { isWarm }
    }

    private fun countSide(
        summary: OutcomeSummary,
        latency: LatencyHistogram?,
        reference: RouteReference?,
    ): SideCounts {
        val slowMicros = reference?.slowMicros
        val verySlowMicros = reference?.verySlowMicros
        if (latency == null || slowMicros == null || verySlowMicros == null) {
            return SideCounts(summary.calls, summary.errors)
        }
        return SideCounts(
            calls = summary.calls,
            errors = summary.errors,
            timed = latency.count,
            slow = latency.countAbove(slowMicros),
            verySlow = latency.countAbove(verySlowMicros),
        )
    }

    /** Recomputes the limits of slow calls and returns the routes whose limits changed. */
    fun refreshReferences(): Set<RouteId> = references.filterValues { it.refresh() }.keys

    /** Forgets which summaries arrived that ended before [beforeMillis]; such summaries are not taken any more. */
    fun forgetBefore(beforeMillis: Long) {
        seen.headMap(beforeMillis).clear()
        forgottenBeforeMillis = max(forgottenBeforeMillis, beforeMillis)
    }
}
