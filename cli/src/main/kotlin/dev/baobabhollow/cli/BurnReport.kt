package dev.baobabhollow.cli

import dev.baobabhollow.model.MemberId
import dev.baobabhollow.model.MoveId
import dev.baobabhollow.model.MovePriority
import dev.baobabhollow.model.RouteId
import dev.baobabhollow.model.ServiceId
import dev.baobabhollow.model.ServiceObjective
import dev.baobabhollow.node.BurnBucket
import kotlinx.serialization.Serializable

/** Burn rates of the services' error budgets, from the counters of the nodes that responded. */
@Serializable
internal data class BurnReport(
    val nowMillis: Long,
    val shortMillis: Long,
    val longMillis: Long,
    val bucketMillis: Long,
    val nodesAsked: Int,
    val nodesMissing: List<String>,
    val members: List<MemberLine>,
    val routes: List<RouteReport>,
)

/** A member and the priority by which its moves are decided. */
@Serializable
internal data class MemberLine(
    val member: MemberId,
    val name: String,
    val movePriority: MovePriority,
)

/** Burn of one route. [coincides] names the moves and versions that overlap a bucket with a burn rate above 1. */
@Serializable
internal data class RouteReport(
    val member: MemberId?,
    val movePriority: MovePriority?,
    val service: ServiceId,
    val route: RouteId,
    val objective: ServiceObjective,
    val availability: ObjectiveBurn,
    val latency: ObjectiveBurn,
    val coincides: List<String>,
    val buckets: List<BurnBucket>,
)

/**
 * Calls measured against one objective. [budgetLeft] is the share of the long window's error budget that is left,
 * negative when overspent. A burn rate of 1 uses up the budget exactly; rates are null without calls.
 */
@Serializable
internal data class ObjectiveBurn(
    val target: Double,
    val calls: Long,
    val bad: Long,
    val budgetLeft: Double,
    val shortRate: Double?,
    val longRate: Double?,
)

/** Time span of a change (a move or a version) that may have affected [service], or all services if that is null. */
internal data class ChangeSpan(
    val label: String,
    val service: ServiceId?,
    val fromMillis: Long,
    val toMillis: Long,
)

/**
 * Returns the rate at which [bad] out of [calls] burn the error budget of an objective of [target], or null without
 * calls.
 */
internal fun burnRate(
    calls: Long,
    bad: Long,
    target: Double,
): Double? = if (calls == 0L) null else bad.toDouble() / calls / (1 - target)

/** Sums the buckets of several nodes that have the same start, and sorts them by start. */
internal fun mergeBuckets(buckets: List<BurnBucket>): List<BurnBucket> =
    buckets
        .groupBy { it.startMillis }
        .toSortedMap()
        .map { (start, same) ->
            BurnBucket(
                start,
                same.sumOf { it.calls },
                same.sumOf { it.errors },
                same.sumOf { it.slow },
            )
        }

/** Measures the [buckets] since [longFromMillis] and since [shortFromMillis] against an objective of [target]. */
internal fun objectiveBurn(
    buckets: List<BurnBucket>,
    target: Double,
    shortFromMillis: Long,
    longFromMillis: Long,
    bad: (BurnBucket) -> Long,
): ObjectiveBurn {
    val long = buckets.filter { it.startMillis >= longFromMillis }
    val short = long.filter { it.startMillis >= shortFromMillis }
    val longRate = burnRate(long.sumOf { it.calls }, long.sumOf(bad), target)
    return ObjectiveBurn(
        target = target,
        calls = long.sumOf { it.calls },
        bad = long.sumOf(bad),
        budgetLeft = 1 - (longRate ?: 0.0),
        shortRate = burnRate(short.sumOf { it.calls }, short.sumOf(bad), target),
        longRate = longRate,
    )
}

/** Returns the labels of [changeSpans] of [service] that overlap a bucket in which either burn rate exceeds 1. */
internal fun overlappingChanges(
    service: ServiceId,
    objective: ServiceObjective,
    buckets: List<BurnBucket>,
    bucketMillis: Long,
    changeSpans: List<ChangeSpan>,
): List<String> {
    val burning =
        buckets.filter { bucket ->
            val errors = burnRate(bucket.calls, bucket.errors, objective.availability) ?: 0.0
            val slow = burnRate(bucket.calls, bucket.slow, objective.fastShare) ?: 0.0
            errors > 1 || slow > 1
        }
    return changeSpans
        .filter { it.service == null || it.service == service }
        .filter { change ->
            burning.any { it.startMillis <= change.toMillis && it.startMillis + bucketMillis > change.fromMillis }
        }.map { it.label }
}

/** Key by which buckets are grouped: one [RouteReport] for each. */
internal data class RouteKey(
    val member: MemberId?,
    val service: ServiceId,
    val route: RouteId,
)

/** Returns the label of [move] in a report. */
internal fun moveLabel(
    move: MoveId,
    phase: String,
): String = "move $move ($phase)"
