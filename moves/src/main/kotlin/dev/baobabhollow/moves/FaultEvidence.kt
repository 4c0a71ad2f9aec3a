package dev.baobabhollow.moves

import dev.baobabhollow.model.FailureDomainId
import dev.baobabhollow.model.RouteId
import java.util.TreeMap
import kotlin.math.exp
import kotlin.math.ln

/** Names what is compared on a route. [nullShare] is the old release's share of hits where it is known by definition. */
internal enum class Metric(
    val label: String,
    val weight: Double,
    val alternatives: DoubleArray,
) {
    ERRORS("errors", 0.5, doubleArrayOf(4.0, 12.0, 50.0, 250.0)),
    SLOW("slow calls", 0.3, doubleArrayOf(4.0, 10.0, 30.0)),
    VERY_SLOW("very slow calls", 0.2, doubleArrayOf(5.0, 15.0, 50.0)),
    ;

    fun hits(side: SideCounts): Long =
        when (this) {
            ERRORS -> side.errors
            SLOW -> side.slow
            VERY_SLOW -> side.verySlow
        }

    fun calls(side: SideCounts): Long = if (this == ERRORS) side.calls else side.timed
}

/** Says which test of which route points most strongly to a fault. */
internal data class Finding(
    val route: RouteId,
    val metric: Metric,
    val isPaired: Boolean,
    val counts: PairedCounts,
)

/**
 * Combines the tests of all routes and metrics of one move.
 *
 * A weighted mean of e-processes with weights that sum to at most 1 is an e-process under any dependence (Vovk and Wang,
 * E-values: calibration, combination and applications, 2021). By Ville's inequality the probability that it ever reaches
 * 1/falseAlarmRate is at most falseAlarmRate. So the rate holds over all routes, metrics and times of a move together.
 */
internal class FaultEvidence(
    private val policy: MovePolicy,
    private val references: Map<RouteId, RouteReference>,
) {
    private class RouteTests(
        val weight: Double,
    ) {
        val paired = Metric.entries.associateWith { SequentialTest(it.alternatives) }
        val unpaired = Metric.entries.associateWith { SequentialTest(it.alternatives) }
    }

    private val tests = TreeMap<RouteId, RouteTests>()
    private val domains = HashSet<FailureDomainId>()
    private var invested = INITIAL_CAPITAL

    /** Invests the capital that is due when [elapsedShare] (0..1) of the time of the move has passed. */
    fun investUntil(elapsedShare: Double) {
        val due = INITIAL_CAPITAL + (1 - INITIAL_CAPITAL) * elapsedShare.coerceIn(0.0, 1.0)
        val capital = due - invested
        if (capital <= 0) return
        invested = due
        tests.values.forEach { route -> (route.paired.values + route.unpaired.values).forEach { it.invest(capital) } }
    }

    /** Compares both releases in one cell at the same time. */
    fun comparePaired(
        cell: CellKey,
        new: SideCounts,
        old: SideCounts,
    ) {
        domains += cell.failureDomain
        for ((metric, test) in testsOf(cell.route).paired) {
            val counts = PairedCounts(metric.calls(new), metric.hits(new), metric.calls(old), metric.hits(old))
            if (counts.newCalls == 0L || counts.oldCalls == 0L) continue
            test.update(cell.failureDomain, counts, pairedLogRatios(counts, tolerance(metric), metric.alternatives))
        }
    }

    /** Compares the new release in one cell with what the old release did earlier. */
    fun compareWithReference(
        cell: CellKey,
        new: SideCounts,
    ) {
        domains += cell.failureDomain
        val reference = references[cell.route]
        for ((metric, test) in testsOf(cell.route).unpaired) {
            val counts = PairedCounts(metric.calls(new), metric.hits(new), 0, 0)
            if (counts.newCalls == 0L) continue
            val nullShare = referenceShare(metric, reference)
            test.update(
                cell.failureDomain,
                counts,
                referenceLogRatios(counts.newCalls, counts.newHits, nullShare, metric.alternatives),
            )
        }
    }

    /** The traffic of another time differs, so the limit is twice the old release's share plus a constant. */
    private fun referenceShare(
        metric: Metric,
        reference: RouteReference?,
    ): Double =
        when (metric) {
            Metric.ERRORS -> {
                val limit = reference?.errorLimit() ?: UNKNOWN_ERROR_SHARE
                (REFERENCE_FACTOR * limit + REFERENCE_ERROR_MARGIN).coerceAtMost(MAX_NULL_SHARE)
            }

            Metric.SLOW -> {
                REFERENCE_FACTOR * RouteReference.SLOW_SHARE
            }

            Metric.VERY_SLOW -> {
                REFERENCE_FACTOR * RouteReference.VERY_SLOW_SHARE
            }
        }

    private fun tolerance(metric: Metric) =
        if (metric == Metric.ERRORS) policy.errorOddsTolerance else policy.latencyOddsTolerance

    private fun testsOf(route: RouteId): RouteTests =
        tests.getOrPut(route) {
            RouteTests(routeWeight(tests.size)).also { created ->
                (created.paired.values + created.unpaired.values).forEach { it.invest(invested) }
            }
        }

    /** The first routes get equal weights; a convergent series serves all further ones. */
    private fun routeWeight(earlierRoutes: Int): Double {
        if (earlierRoutes < EQUAL_ROUTES) return EQUAL_WEIGHT / EQUAL_ROUTES
        val position = earlierRoutes - EQUAL_ROUTES + 1
        return (1 - EQUAL_WEIGHT) / (position.toDouble() * (position + 1))
    }

    /** Returns the logarithm of the combined e-value of all tests. */
    fun logEvidence(): Double = ln(candidates().sumOf { exp(it.first.coerceAtMost(MAX_LOG)) })

    /** Returns the strongest finding if the release is condemned, else null. */
    fun findFault(): Finding? {
        val credible = candidates().filter { it.first > LEAST_LOG }.filter { isCredible(it.second, it.third) }
        val sum = credible.sumOf { exp(it.first.coerceAtMost(MAX_LOG)) }
        return if (sum >= 1 / policy.falseAlarmRate) credible.maxBy { it.first }.second else null
    }

    private fun candidates(): List<Triple<Double, Finding, SequentialTest>> =
        tests.flatMap { (route, group) ->
            Metric.entries.flatMap { metric ->
                listOf(true, false).map { isPaired ->
                    val test = (if (isPaired) group.paired else group.unpaired).getValue(metric)
                    val share = if (isPaired) PAIRED_WEIGHT else 1 - PAIRED_WEIGHT
                    val logWeight = ln(group.weight * metric.weight * share)
                    Triple(logWeight + test.logEvidence(), Finding(route, metric, isPaired, test.segment), test)
                }
            }
        }

    /** A difference must also matter, and must not come from one ill domain or target alone. */
    private fun isCredible(
        finding: Finding,
        test: SequentialTest,
    ): Boolean {
        val counts = finding.counts
        val share = counts.newHits.toDouble() / counts.newCalls.coerceAtLeast(1)
        val least =
            when (finding.metric) {
                Metric.ERRORS -> policy.minErrorShare
                Metric.SLOW -> REFERENCE_FACTOR * RouteReference.SLOW_SHARE
                Metric.VERY_SLOW -> REFERENCE_FACTOR * RouteReference.VERY_SLOW_SHARE
            }
        return share >= least && test.isSpread(if (finding.isPaired) 1 else domains.size / 2)
    }

    private companion object {
        /** Part of the capital that bets on a fault from the beginning; the rest bets on later beginnings. */
        const val INITIAL_CAPITAL = 0.5
        const val PAIRED_WEIGHT = 0.7
        const val EQUAL_ROUTES = 8
        const val EQUAL_WEIGHT = 0.9
        const val REFERENCE_FACTOR = 2.0
        const val REFERENCE_ERROR_MARGIN = 0.005
        const val UNKNOWN_ERROR_SHARE = 0.05
        const val MAX_NULL_SHARE = 0.6
        const val MAX_LOG = 600.0
        const val LEAST_LOG = -3.0
    }
}
