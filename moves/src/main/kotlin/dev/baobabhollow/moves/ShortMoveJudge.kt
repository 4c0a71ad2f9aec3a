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
 * Sets how a move is judged whose deadline is seconds away. All shares of time are parts of the time from the order to the
 * deadline.
 *
 * [trialPermille] is the share of the new release until [trialUntil] of the time, [middlePermille] the one until
 * [middleUntil]; then it gets all calls, and the move is done at [doneAt]. The share of calls that a bad release gets is at
 * most about trialPermille × trialUntil + middlePermille × (middleUntil − trialUntil), plus the calls of one round of
 * summaries at the full share, and must stay below what operators allow (a tenth).
 */
data class ShortMovePolicy(
    val trialPermille: Int = 50,
    val trialUntil: Double = 0.5,
    val middlePermille: Int = 250,
    val middleUntil: Double = 0.57,
    val doneAt: Double = 0.8,
    /** Fewest failed calls that condemn a release. */
    val minErrors: Long = 5,
    /** Fewest failed calls that condemn a release of whose calls at least [severeErrorShare] fail. */
    val severeErrors: Long = 3,
    val severeErrorShare: Double = 0.3,
    /** Share of failed calls from which on a release counts as bad, whatever the old one does. */
    val minErrorShare: Double = 0.12,
    /** Fewest calls with a latency that condemn a release for being slow. */
    val minTimedCalls: Long = 16,
    /** Share of slow calls from which on a release counts as bad. */
    val minSlowShare: Double = 0.2,
    /** A call is slow at this multiple of the old release's median: cold targets take about twice as long. */
    val slowFactor: Long = 3,
    /** How much worse than the old release's share the new one's must be. */
    val factor: Double = 4.0,
)

/** Creates a judge for a move with so little time that the sequential test could not come to a decision. */
fun shortMoveJudge(policy: ShortMovePolicy = ShortMovePolicy()): MoveJudge = ShortMoveJudge(policy)

/** Compares failed and slow calls of both releases on each route and raises the share in fixed steps of time. */
internal class ShortMoveJudge(
    private val policy: ShortMovePolicy,
) : MoveJudge {
    private class Side {
        var calls = 0L
        var errors = 0L
        var timed = 0L
        var slow = 0L
        val hitsOf = HashMap<NodeId, Long>()
        val callsOf = HashMap<NodeId, Long>()

        val errorShare: Double get() = errors.toDouble() / calls.coerceAtLeast(1)
        val slowShare: Double get() = slow.toDouble() / timed.coerceAtLeast(1)
    }

    private class RouteOutcomes {
        val new = Side()
        val old = Side()
        val oldLatency = LatencyHistogram()
    }

    private val routes = HashMap<RouteId, RouteOutcomes>()
    private val seen = HashSet<List<Any>>()
    private val early = mutableListOf<OutcomeSummary>()
    private var plan: MoveState? = null
    private var fault: MoveDecision.TakeBack? = null

    override fun observe(summary: OutcomeSummary) {
        val move = plan
        if (move == null) {
            if (early.size < MAX_EARLY) early += summary
            return
        }
        if (summary.service != move.plan.service || summary.errors > summary.calls) return
        val isNew = summary.release == move.plan.to
        if (!seen.add(listOf(summary.node, summary.route, summary.release, summary.endsAtMillis))) return
        val outcomes = routes.getOrPut(summary.route) { RouteOutcomes() }
        if (!isNew) readLatencies(summary) { outcomes.oldLatency.mergeEncoded(summary.latency) }
        count(if (isNew) outcomes.new else outcomes.old, summary, outcomes.oldLatency)
    }

    override fun decide(
        move: MoveState,
        nowMillis: Long,
    ): MoveDecision {
        if (plan == null) {
            plan = move
            early.forEach(::observe)
            early.clear()
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
        // Each step is taken for some time, also when a judge takes over late or the deadline has nearly passed.
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

    /** Reads latencies of [summary] and tells whether they could be read; its errors count in any case. */
    private fun readLatencies(
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
        side: Side,
        summary: OutcomeSummary,
        reference: LatencyHistogram,
    ) {
        var slow = 0L
        var timed = 0L
        if (reference.count >= MIN_REFERENCE_CALLS) {
            val limit = reference.quantileMicros(MEDIAN) * policy.slowFactor
            val isRead =
                readLatencies(summary) {
                    LatencyHistogram.forEachEncoded(summary.latency) { micros, occurrences ->
                        timed += occurrences
                        if (micros > limit) slow += occurrences
                    }
                }
            if (!isRead) {
                slow = 0
                timed = 0
            }
        }
        side.calls += summary.calls
        side.errors += summary.errors
        side.timed += timed
        side.slow += slow
        side.callsOf.merge(summary.node, summary.calls, Long::plus)
        side.hitsOf.merge(summary.node, summary.errors + slow, Long::plus)
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

    /** Calls on some routes fail whatever the release does, and then only clearly more failures say something about it. */
    private fun errorLimit(old: Side): Double {
        val limit = policy.factor * old.errorShare.coerceAtMost(MAX_OLD_SHARE)
        val isFailing = old.errors >= policy.minErrors && old.errorShare >= MAX_OLD_SHARE
        return if (isFailing) maxOf(limit, old.errorShare + policy.severeErrorShare) else limit
    }

    private fun hasTooManyErrors(
        new: Side,
        oldLimit: Double,
    ): Boolean {
        val isSevere = new.errors >= policy.severeErrors && new.errorShare >= maxOf(policy.severeErrorShare, oldLimit)
        return isSevere || (new.errors >= policy.minErrors && new.errorShare >= maxOf(policy.minErrorShare, oldLimit))
    }

    /** One ill target must not condemn a release that other targets serve well. */
    private fun isSpread(side: Side): Boolean {
        val known = side.callsOf.filterValues { it >= MIN_CALLS_OF_TARGET }.keys
        val ill = side.hitsOf.count { it.value >= MIN_HITS_OF_TARGET }
        return ill >= minOf(2, known.size)
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

        /** Keeps a limit below one, so that an ill old release does not make every new one look good. */
        const val MAX_OLD_SHARE = 0.2
        const val MAX_EARLY = 2_000
    }
}
