package dev.baobabhollow.moves

import dev.baobabhollow.model.FailureDomainId
import dev.baobabhollow.model.MoveEvidence
import dev.baobabhollow.model.RouteId
import java.util.TreeMap
import kotlin.math.exp
import kotlin.math.ln
import kotlin.math.max

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
) {
    /** Describes the finding for operators. */
    fun describe(): String {
        val basis = if (isPaired) "${counts.oldHits} of ${counts.oldCalls} on the old release" else "the reference"
        return "${metric.label} on route $route: ${counts.newHits} of ${counts.newCalls} calls, against $basis"
    }
}

/**
 * Sums up the evidence: [fault] condemns the release, and [suspicion] points to a fault without proving it. A suspicion
 * that [isSpread] over domains and large enough to matter is the stronger one.
 */
internal data class Assessment(
    val fault: Finding?,
    val suspicion: Finding?,
    val isSpread: Boolean,
)

/**
 * Combines the tests of all routes and metrics of one move.
 *
 * A weighted mean of e-processes with weights that sum to at most 1 is an e-process under any dependence (Vovk and Wang,
 * E-values: calibration, combination and applications, 2021). By Ville's inequality the probability that it ever reaches
 * 1/falseAlarmRate is at most falseAlarmRate. So the rate holds over all routes, metrics and times of a move together.
 *
 * [earlier] holds what the judge of an earlier stage saw of the old release.
 */
internal class FaultEvidence(
    private val policy: MovePolicy,
    private val references: Map<RouteId, RouteReference>,
    private val earlier: MoveEvidence = MoveEvidence.NONE,
) {
    private class RouteTests(
        val weight: Double,
    ) {
        val paired = Metric.entries.associateWith { SequentialTest(it.alternatives) }
        val unpaired = Metric.entries.associateWith { SequentialTest(it.alternatives) }
    }

    private class Candidate(
        val logEvidence: Double,
        val finding: Finding,
        val test: SequentialTest,
    )

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

    /** Compares the new release in one cell, in the window that ends at [endMillis], with what the old release did. */
    fun compareWithReference(
        cell: CellKey,
        new: SideCounts,
        endMillis: Long,
    ) {
        domains += cell.failureDomain
        for ((metric, test) in testsOf(cell.route).unpaired) {
            val counts = PairedCounts(metric.calls(new), metric.hits(new), 0, 0)
            if (counts.newCalls == 0L) continue
            val nullShare = referenceShare(metric, references[cell.route], endMillis)
            test.update(
                cell.failureDomain,
                counts,
                referenceLogRatios(counts.newCalls, counts.newHits, nullShare, metric.alternatives),
            )
        }
    }

    /**
     * The traffic of another time and domain differs, so the limit is twice the old release's share plus a constant, and
     * not below an upper confidence limit of that share, on which the false alarm rate is conditional here. It also rises
     * with the old release's hits in the latest windows, so that what harms both releases is no evidence.
     */
    private fun referenceShare(
        metric: Metric,
        reference: RouteReference?,
        endMillis: Long,
    ): Double {
        if (reference == null) return shareWithoutReference()
        val latest = reference.latestHitShare(metric, endMillis - LATEST_MILLIS, endMillis)
        val margin = if (metric == Metric.ERRORS) REFERENCE_ERROR_MARGIN else 0.0
        val limit = max(reference.hitLimit(metric), REFERENCE_FACTOR * max(reference.hitShare(metric), latest))
        return (limit + margin).coerceAtMost(MAX_NULL_SHARE)
    }

    /**
     * A judge that never saw the old release on a route relies on what an earlier one recorded about all routes. With
     * outcomes of one domain alone it cannot tell an ill domain from a fault, so only a clear fault counts.
     */
    private fun shareWithoutReference(): Double =
        if (domains.size <= 1 || earlier.oldCalls < KNOWN_CALLS) {
            UNKNOWN_SHARE
        } else {
            (EARLIER_FACTOR * earlier.oldErrors / earlier.oldCalls).coerceIn(EARLIER_LEAST_SHARE, UNKNOWN_SHARE)
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

    /** Weighs all tests by what they have seen so far. */
    fun assess(): Assessment {
        val all = candidates()
        val credible = all.filter { it.logEvidence > LEAST_LOG && isCredible(it) }
        val credibleSum = sumOf(credible)
        val isSpread = credibleSum >= SUSPECT_EVIDENCE
        val suspects = if (isSpread) credible else all.takeIf { sumOf(it) >= SUSPECT_EVIDENCE }
        return Assessment(
            fault = if (credibleSum >= 1 / policy.falseAlarmRate) strongest(credible) else null,
            suspicion = suspects?.let(::strongest),
            isSpread = isSpread,
        )
    }

    private fun strongest(candidates: List<Candidate>) = candidates.maxBy { it.logEvidence }.finding

    private fun sumOf(candidates: List<Candidate>) = candidates.sumOf { exp(it.logEvidence.coerceAtMost(MAX_LOG)) }

    private fun candidates(): List<Candidate> =
        tests.flatMap { (route, group) ->
            Metric.entries.flatMap { metric ->
                val pairedWeight = group.weight * metric.weight * PAIRED_WEIGHT
                val unpairedWeight = group.weight * metric.weight * (1 - PAIRED_WEIGHT)
                listOf(
                    candidate(route, metric, true, group.paired.getValue(metric), pairedWeight),
                    candidate(route, metric, false, group.unpaired.getValue(metric), unpairedWeight),
                )
            }
        }

    private fun candidate(
        route: RouteId,
        metric: Metric,
        isPaired: Boolean,
        test: SequentialTest,
        weight: Double,
    ) = Candidate(ln(weight) + test.logEvidence(), Finding(route, metric, isPaired, test.segment), test)

    /** A difference must also matter, and must not come from one ill domain or target alone. */
    private fun isCredible(candidate: Candidate): Boolean {
        val finding = candidate.finding
        val counts = finding.counts
        val share = counts.newHits.toDouble() / counts.newCalls.coerceAtLeast(1)
        val least =
            when (finding.metric) {
                Metric.ERRORS -> policy.minErrorShare
                Metric.SLOW -> REFERENCE_FACTOR * RouteReference.SLOW_SHARE
                Metric.VERY_SLOW -> REFERENCE_FACTOR * RouteReference.VERY_SLOW_SHARE
            }
        if (share < least) return false
        return if (finding.isPaired) {
            candidate.test.isSpread(strongest = 1, leastShare = 0.0)
        } else {
            candidate.test.isSpread(strongest = domains.size / 2, leastShare = REFERENCE_SPREAD_SHARE)
        }
    }

    private companion object {
        /** Part of the capital that bets on a fault from the beginning; the rest bets on later beginnings. */
        const val INITIAL_CAPITAL = 0.5
        const val PAIRED_WEIGHT = 0.7
        const val EQUAL_ROUTES = 8
        const val EQUAL_WEIGHT = 0.9

        /** An ill domain gives the reference test ever more evidence, so the weaker domains must keep up. */
        const val REFERENCE_SPREAD_SHARE = 0.2
        const val REFERENCE_FACTOR = 2.0
        const val REFERENCE_ERROR_MARGIN = 0.005
        const val UNKNOWN_SHARE = 0.3
        const val KNOWN_CALLS = 1_000L
        const val EARLIER_FACTOR = 4.0
        const val EARLIER_LEAST_SHARE = 0.03
        const val LATEST_MILLIS = 5_000L
        const val MAX_NULL_SHARE = 0.95
        const val MAX_LOG = 600.0
        const val LEAST_LOG = -3.0

        /** Evidence at which the share rises no further; a good release reaches it with a probability of at most 1/20. */
        const val SUSPECT_EVIDENCE = 20.0
    }
}
