package dev.baobabhollow.cli

import dev.baobabhollow.model.MemberId
import dev.baobabhollow.model.MoveId
import dev.baobabhollow.model.MovePriority
import dev.baobabhollow.model.RouteId
import dev.baobabhollow.model.ServiceId
import dev.baobabhollow.model.ServiceObjective
import dev.baobabhollow.node.BurnBucket
import kotlinx.serialization.Serializable

/** Reports how fast services use up their error budgets, from the counters of the nodes that answered. */
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

/** Shows a member and what it weighs most when its moves are decided. */
@Serializable
internal data class MemberLine(
    val member: MemberId,
    val name: String,
    val movePriority: MovePriority,
)

/** Shows one route. [coincides] names moves and versions that fall together with buckets that burnt too fast. */
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
 * Compares calls with one objective. [budgetLeft] is the part of the error budget of the calls in the long window that is
 * left (negative when overspent). A burn rate of 1 uses up the budget exactly; it is null without calls.
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

/** Marks a span of time in which something happened to [service], or to all services if that is null. */
internal data class Incident(
    val label: String,
    val service: ServiceId?,
    val fromMillis: Long,
    val toMillis: Long,
)

/** Returns the rate at which [bad] of [calls] use up the budget of an objective of [target], or null without calls. */
internal fun burnRate(
    calls: Long,
    bad: Long,
    target: Double,
): Double? = if (calls == 0L) null else bad.toDouble() / calls / (1 - target)

/** Adds up buckets of several nodes that start at the same time, in order of time. */
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

/** Compares the [buckets] since [longFromMillis] and [shortFromMillis] with an objective of [target]. */
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

/** Names the [incidents] of [service] that overlap a bucket in which either objective burnt faster than 1. */
internal fun coincidences(
    service: ServiceId,
    objective: ServiceObjective,
    buckets: List<BurnBucket>,
    bucketMillis: Long,
    incidents: List<Incident>,
): List<String> {
    val hot =
        buckets.filter { bucket ->
            val errors = burnRate(bucket.calls, bucket.errors, objective.availability) ?: 0.0
            val slow = burnRate(bucket.calls, bucket.slow, objective.fastShare) ?: 0.0
            errors > 1 || slow > 1
        }
    return incidents
        .filter { it.service == null || it.service == service }
        .filter { incident ->
            hot.any { it.startMillis <= incident.toMillis && it.startMillis + bucketMillis > incident.fromMillis }
        }.map { it.label }
}

/** Identifies what the report shows one line for. */
internal data class RouteOfMember(
    val member: MemberId?,
    val service: ServiceId,
    val route: RouteId,
)

/** Returns the text for the incident of [move]. */
internal fun moveLabel(
    move: MoveId,
    phase: String,
): String = "move $move ($phase)"
