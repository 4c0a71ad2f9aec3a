package dev.baobabhollow.moves

import dev.baobabhollow.model.FailureDomainId
import dev.baobabhollow.model.MoveEvidence
import dev.baobabhollow.model.RouteId
import java.util.TreeMap
import kotlin.math.exp
import kotlin.math.ln
import kotlin.math.max

/**
 * Metric by which the releases are compared on a route. A call that fails or is slow by the metric is a hit. [weight]
 * is the metric's part of the route's evidence, and [alternatives] are the odds ratios that its tests bet on.
 */
internal enum class Metric(
    val label: String,
    val weight: Double,
    val alternatives: DoubleArray,
) {
    ERRORS("errors", 0.5, doubleArrayOf(4.0, 12.0, 50.0, 250.0)),
    SLOW("slow calls", 0.3, doubleArrayOf(4.0, 10.0, 30.0)),
    VERY_SLOW("very slow calls", 0.2, doubleArrayOf(5.0, 15.0, 50.0)),
    ;

    fun hits(counts: OutcomeCounts): Long =
        when (this) {
            ERRORS -> counts.errors
            SLOW -> counts.slow
            VERY_SLOW -> counts.verySlow
        }

    fun calls(counts: OutcomeCounts): Long = if (this == ERRORS) counts.calls else counts.timed
}

/** The test of a route that points most strongly to a fault. */
internal data class Finding(
    val route: RouteId,
    val metric: Metric,
    val isPaired: Boolean,
    val counts: PairedCounts,
) {
    /** Returns a description for operators. */
    fun describe(): String {
        val basis = if (isPaired) "${counts.oldHits} of ${counts.oldCalls} on the old release" else "the reference"
        return "${metric.label} on route $route: ${counts.newHits} of ${counts.newCalls} calls, against $basis"
    }
}

/**
 * Result of all tests so far. [fault] is enough to take the release back; [suspicion] points to a fault without proving
 * it. [isSpread] is true if the suspicion stems from several domains and the difference is large enough to matter.
 */
internal data class Assessment(
    val fault: Finding?,
    val suspicion: Finding?,
    val isSpread: Boolean,
)

/**
 * Combines the tests of all routes and metrics of one move.
 *
 * A weighted mean of e-processes with weights that sum to at most 1 is an e-process under any dependence (Vovk and
 * Wang, E-values: calibration, combination and applications, 2021). By Ville's inequality the probability that it ever
 * reaches 1/falseAlarmRate is at most falseAlarmRate. So the rate holds over all routes, metrics and times of a move
 * together.
 *
 * [earlier] is the evidence that the judge of an earlier stage recorded about the old release.
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

    /** Invests the capital due when [elapsedShare] (0..1) of the move's time has passed. */
    fun investUntil(elapsedShare: Double) {
        val due = INITIAL_CAPITAL + (1 - INITIAL_CAPITAL) * elapsedShare.coerceIn(0.0, 1.0)
        val capital = due - invested
        if (capital <= 0) return
        invested = due
        tests.values.forEach { route -> (route.paired.values + route.unpaired.values).forEach { it.invest(capital) } }
    }

    /** Compares the outcomes of both releases in one cell and time window. */
    fun comparePaired(
        cell: CellKey,
        new: OutcomeCounts,
        old: OutcomeCounts,
    ) {
        domains += cell.failureDomain
        for ((metric, test) in testsOf(cell.route).paired) {
            val counts = PairedCounts(metric.calls(new), metric.hits(new), metric.calls(old), metric.hits(old))
            if (counts.newCalls == 0L || counts.oldCalls == 0L) continue
            test.update(cell.failureDomain, counts, pairedLogRatios(counts, tolerance(metric), metric.alternatives))
        }
    }

    /** Compares the new release in [cell], in the window that ends at [endMillis], with the old release's reference. */
    fun compareWithReference(
        cell: CellKey,
        new: OutcomeCounts,
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
     * Returns the share of hits up to which the new release counts as no worse than the reference.
     *
     * The reference stems from other times and domains, so the limit is twice the old release's share plus a margin,
     * and at least an upper confidence limit of that share; the false alarm rate is conditional on that limit. It also
     * rises with the old release's hits in the latest windows, so that a cause that affects both releases is no
     * evidence.
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
     * Returns the limit for a route on which this judge never observed the old release, from what an earlier judge
     * recorded about all routes. Outcomes of a single domain cannot distinguish an unhealthy domain from a fault of the
     * release, so in that case only a clear fault counts.
     */
    private fun shareWithoutReference(): Double =
        if (domains.size <= 1 || earlier.oldCalls < MIN_EARLIER_CALLS) {
            MAX_UNOBSERVED_SHARE
        } else {
            (EARLIER_ERROR_FACTOR * earlier.oldErrors / earlier.oldCalls)
                .coerceIn(MIN_EARLIER_SHARE, MAX_UNOBSERVED_SHARE)
        }

    private fun tolerance(metric: Metric) =
        if (metric == Metric.ERRORS) policy.errorOddsTolerance else policy.latencyOddsTolerance

    private fun testsOf(route: RouteId): RouteTests =
        tests.getOrPut(route) {
            RouteTests(routeWeight(tests.size)).also { created ->
                (created.paired.values + created.unpaired.values).forEach { it.invest(invested) }
            }
        }

    /**
     * Gives the first routes equal weights and all further ones those of a convergent series, so the sum is at most 1.
     */
    private fun routeWeight(earlierRoutes: Int): Double {
        if (earlierRoutes < EQUAL_WEIGHT_ROUTES) return TOTAL_EQUAL_WEIGHT / EQUAL_WEIGHT_ROUTES
        val position = earlierRoutes - EQUAL_WEIGHT_ROUTES + 1
        return (1 - TOTAL_EQUAL_WEIGHT) / (position.toDouble() * (position + 1))
    }

    /** Returns the combined result of all tests so far. */
    fun assess(): Assessment {
        val all = candidates()
        val credible = all.filter { it.logEvidence > MIN_LOG_EVIDENCE && isCredible(it) }
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

    private fun sumOf(candidates: List<Candidate>) =
        candidates.sumOf { exp(it.logEvidence.coerceAtMost(MAX_LOG_EVIDENCE)) }

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
    ) = Candidate(ln(weight) + test.logEvidence(), Finding(route, metric, isPaired, test.countsSinceRise), test)

    /** True if the difference is large enough to matter and does not stem from a single unhealthy domain or target. */
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
            candidate.test.isSpread(strongest = 1, minShare = 0.0)
        } else {
            candidate.test.isSpread(strongest = domains.size / 2, minShare = REFERENCE_SPREAD_SHARE)
        }
    }

    private companion object {
        /** Part of the capital that bets on a fault from the start; the rest bets on faults that start later. */
        const val INITIAL_CAPITAL = 0.5
        const val PAIRED_WEIGHT = 0.7
        const val EQUAL_WEIGHT_ROUTES = 8
        const val TOTAL_EQUAL_WEIGHT = 0.9

        /**
         * Least part of the evidence outside the strongest domains. The evidence of an unhealthy domain against the
         * reference keeps growing, so the other domains' evidence has to grow in proportion.
         */
        const val REFERENCE_SPREAD_SHARE = 0.2
        const val REFERENCE_FACTOR = 2.0
        const val REFERENCE_ERROR_MARGIN = 0.005

        /** Highest limit on a route without a reference, and the one used if nothing is known about the old release. */
        const val MAX_UNOBSERVED_SHARE = 0.3

        /** Fewest calls of the old release for which the error share that an earlier judge recorded is used. */
        const val MIN_EARLIER_CALLS = 1_000L
        const val EARLIER_ERROR_FACTOR = 4.0
        const val MIN_EARLIER_SHARE = 0.03

        /** Time whose windows of the old release count as the latest ones. */
        const val LATEST_MILLIS = 5_000L
        const val MAX_NULL_SHARE = 0.95

        /** Keeps exp() of the log evidence finite; its range ends at about 709. */
        const val MAX_LOG_EVIDENCE = 600.0
        const val MIN_LOG_EVIDENCE = -3.0

        /** Evidence at which the share stops rising; a good release reaches it with a probability of at most 1/20. */
        const val SUSPECT_EVIDENCE = 20.0
    }
}
