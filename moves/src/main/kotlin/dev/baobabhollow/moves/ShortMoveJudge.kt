package dev.baobabhollow.moves

import dev.baobabhollow.model.FULL_SHARE_PERMILLE
import dev.baobabhollow.model.LatencyHistogram
import dev.baobabhollow.model.MoveEvidence
import dev.baobabhollow.model.MovePhase
import dev.baobabhollow.model.MoveState
import dev.baobabhollow.model.NodeId
import dev.baobabhollow.model.OutcomeSummary
import dev.baobabhollow.model.RouteId
import org.apache.logging.log4j.LogManager

/**
 * Settings that control how a move with only seconds to its deadline is judged. Times are fractions of the time from
 * the start of the move to its deadline.
 *
 * [trialPermille] is the share of the new release until [trialUntil], and [middlePermille] the share until
 * [middleUntil]; from then on it gets all calls, and the move is done at [doneAt]. A bad release gets at most about
 * trialPermille × trialUntil + middlePermille × (middleUntil − trialUntil) of the calls, plus the calls of one round of
 * summaries at the full share. This must stay below the tenth that operators allow.
 */
data class ShortMovePolicy(
    val trialPermille: Int = 50,
    val trialUntil: Double = 0.5,
    val middlePermille: Int = 250,
    val middleUntil: Double = 0.57,
    val doneAt: Double = 0.8,
    /** Fewest failed calls for which a release is taken back. */
    val minErrors: Long = 5,
    /** Fewest failed calls for which a release is taken back if at least [severeErrorShare] of its calls fail. */
    val severeErrors: Long = 3,
    val severeErrorShare: Double = 0.3,
    /** Lowest share of failed calls at which a release counts as bad, even if the old one has no errors. */
    val minErrorShare: Double = 0.12,
    /** Fewest calls with a latency for which a release is taken back as slow. */
    val minTimedCalls: Long = 16,
    /** Lowest share of slow calls at which a release counts as bad. */
    val minSlowShare: Double = 0.2,
    /** Multiple of the old release's median above which a call is slow; cold targets take about twice as long. */
    val slowFactor: Long = 3,
    /** Factor by which the new release's share of failed or slow calls must exceed the old one's. */
    val factor: Double = 4.0,
)

/** Returns a judge for a move with too little time for the sequential test to reach a decision. */
fun shortMoveJudge(policy: ShortMovePolicy = ShortMovePolicy()): MoveJudge = ShortMoveJudge(policy)

/** Compares failed and slow calls of both releases on each route and raises the share at fixed times. */
internal class ShortMoveJudge(
    private val policy: ShortMovePolicy,
) : MoveJudge {
    private class ReleaseOutcomes {
        var calls = 0L
        var errors = 0L
        var timed = 0L
        var slow = 0L
        val hitsByNode = HashMap<NodeId, Long>()
        val callsByNode = HashMap<NodeId, Long>()

        val errorShare: Double get() = errors.toDouble() / calls.coerceAtLeast(1)
        val slowShare: Double get() = slow.toDouble() / timed.coerceAtLeast(1)
    }

    private class RouteOutcomes {
        val new = ReleaseOutcomes()
        val old = ReleaseOutcomes()
        val oldLatency = LatencyHistogram()
    }

    private val routes = HashMap<RouteId, RouteOutcomes>()
    private val seen = HashSet<List<Any>>()
    private val pending = mutableListOf<OutcomeSummary>()
    private var plan: MoveState? = null
    private var fault: MoveDecision.TakeBack? = null

    override fun observe(summary: OutcomeSummary) {
        val move = plan
        if (move == null) {
            if (pending.size < MAX_PENDING) pending += summary
            return
        }
        if (summary.service != move.plan.service || summary.errors > summary.calls) return
        val isNew = summary.release == move.plan.to
        if (!seen.add(listOf(summary.node, summary.route, summary.release, summary.endsAtMillis))) return
        val outcomes = routes.getOrPut(summary.route) { RouteOutcomes() }
        if (!isNew) decodeLatencies(summary) { outcomes.oldLatency.mergeEncoded(summary.latency) }
        count(if (isNew) outcomes.new else outcomes.old, summary, outcomes.oldLatency)
    }

    override fun decide(
        move: MoveState,
        nowMillis: Long,
    ): MoveDecision {
        if (plan == null) {
            plan = move
            pending.forEach(::observe)
            pending.clear()
        }
        if (move.phase.isFinal) return MoveDecision.Hold("the move is over")
        fault?.let { return it }
        findFault()?.let { reason -> return MoveDecision.TakeBack(reason, evidence(reason)).also { fault = it } }
        val span = (move.plan.completeByMillis - move.plan.startAtMillis).coerceAtLeast(1)
        val elapsed = (nowMillis - move.plan.startAtMillis).toDouble() / span
        return next(move, elapsed)
    }

    private fun next(
        move: MoveState,
        elapsed: Double,
    ): MoveDecision {
        val due =
            when {
                elapsed < policy.trialUntil -> policy.trialPermille
                elapsed < policy.middleUntil -> policy.middlePermille
                else -> FULL_SHARE_PERMILLE
            }
        // No step is skipped, even if a judge takes over late or the deadline has nearly passed.
        val step = minOf(due, stepAfter(move.sharePermille))
        return when {
            step > move.sharePermille -> MoveDecision.Advance(step, "no fault in ${newCalls()} calls", evidence(""))
            move.phase == MovePhase.WATCHING && elapsed >= policy.doneAt -> finish()
            else -> MoveDecision.Hold("share is due until the next step")
        }
    }

    private fun stepAfter(sharePermille: Int): Int =
        listOf(policy.trialPermille, policy.middlePermille).firstOrNull { it > sharePermille } ?: FULL_SHARE_PERMILLE

    private fun finish() = MoveDecision.Finish("no fault in ${newCalls()} calls", evidence(""))

    /** Runs [read] and returns whether it could decode the latencies of [summary]; its errors count in any case. */
    private fun decodeLatencies(
        summary: OutcomeSummary,
        read: () -> Unit,
    ): Boolean =
        try {
            read()
            true
        } catch (e: IllegalArgumentException) {
            LOG.warn("event=latencies_unreadable node={} reason={}", summary.node, e.message)
            false
        }

    private fun count(
        outcomes: ReleaseOutcomes,
        summary: OutcomeSummary,
        reference: LatencyHistogram,
    ) {
        var slow = 0L
        var timed = 0L
        if (reference.count >= MIN_REFERENCE_CALLS) {
            val limit = reference.quantileMicros(MEDIAN) * policy.slowFactor
            val isDecoded =
                decodeLatencies(summary) {
                    LatencyHistogram.forEachEncoded(summary.latency) { micros, occurrences ->
                        timed += occurrences
                        if (micros > limit) slow += occurrences
                    }
                }
            if (!isDecoded) {
                slow = 0
                timed = 0
            }
        }
        outcomes.calls += summary.calls
        outcomes.errors += summary.errors
        outcomes.timed += timed
        outcomes.slow += slow
        outcomes.callsByNode.merge(summary.node, summary.calls, Long::plus)
        outcomes.hitsByNode.merge(summary.node, summary.errors + slow, Long::plus)
    }

    private fun findFault(): String? {
        for ((route, outcomes) in routes) {
            val new = outcomes.new
            val old = outcomes.old
            if (!isSpread(new)) continue
            if (hasTooManyErrors(new, errorLimit(old))) {
                return "errors on route $route: ${new.errors} of ${new.calls} calls, old ${old.errors} of ${old.calls}"
            }
            val slowLimit = maxOf(policy.minSlowShare, policy.factor * old.slowShare.coerceAtMost(MAX_OLD_SHARE))
            if (new.timed >= policy.minTimedCalls && new.slowShare >= slowLimit) {
                return "slow calls on route $route: ${new.slow} of ${new.timed} calls, old ${old.slow} of ${old.timed}"
            }
        }
        return null
    }

    /**
     * On routes where the old release often fails as well, only clearly more failures are evidence against the new one.
     */
    private fun errorLimit(old: ReleaseOutcomes): Double {
        val limit = policy.factor * old.errorShare.coerceAtMost(MAX_OLD_SHARE)
        val isFailing = old.errors >= policy.minErrors && old.errorShare >= MAX_OLD_SHARE
        return if (isFailing) maxOf(limit, old.errorShare + policy.severeErrorShare) else limit
    }

    private fun hasTooManyErrors(
        new: ReleaseOutcomes,
        oldLimit: Double,
    ): Boolean {
        val isSevere = new.errors >= policy.severeErrors && new.errorShare >= maxOf(policy.severeErrorShare, oldLimit)
        return isSevere || (new.errors >= policy.minErrors && new.errorShare >= maxOf(policy.minErrorShare, oldLimit))
    }

    /** True if enough targets fail: a release is not taken back for one unhealthy target if its other targets work. */
    private fun isSpread(outcomes: ReleaseOutcomes): Boolean {
        val known = outcomes.callsByNode.filterValues { it >= MIN_CALLS_OF_TARGET }.keys
        val unhealthy = outcomes.hitsByNode.count { it.value >= MIN_HITS_OF_TARGET }
        return unhealthy >= minOf(2, known.size)
    }

    private fun newCalls() = routes.values.sumOf { it.new.calls }

    private fun evidence(detail: String) =
        MoveEvidence(
            newCalls = newCalls(),
            newErrors = routes.values.sumOf { it.new.errors },
            oldCalls = routes.values.sumOf { it.old.calls },
            oldErrors = routes.values.sumOf { it.old.errors },
            detail = detail,
        )

    private companion object {
        val LOG = LogManager.getLogger(ShortMoveJudge::class.java)
        const val MEDIAN = 0.5

        /** Fewest calls of the old release from which its median is taken. */
        const val MIN_REFERENCE_CALLS = 20L
        const val MIN_CALLS_OF_TARGET = 6L
        const val MIN_HITS_OF_TARGET = 2L

        /** Keeps the limits below 1, so that a failing old release does not make every new one look good. */
        const val MAX_OLD_SHARE = 0.2
        const val MAX_PENDING = 2_000
    }
}
