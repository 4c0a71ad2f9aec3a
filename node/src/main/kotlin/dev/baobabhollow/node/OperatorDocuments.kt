package dev.baobabhollow.node

import dev.baobabhollow.model.FailureDomainId
import dev.baobabhollow.model.MemberId
import dev.baobabhollow.model.ModelJson
import dev.baobabhollow.model.MoveId
import dev.baobabhollow.model.MovePriority
import dev.baobabhollow.model.MoveState
import dev.baobabhollow.model.NodeId
import dev.baobabhollow.model.NodeRecord
import dev.baobabhollow.model.NodeStatus
import dev.baobabhollow.model.PatchVerdict
import dev.baobabhollow.model.RouteId
import dev.baobabhollow.model.ServiceId
import dev.baobabhollow.model.ServiceObjective
import dev.baobabhollow.model.TargetRecord
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json

/** JSON format of operator documents. Writes default values and ignores unknown keys. */
val OperatorJson: Json =
    Json(ModelJson) {
        encodeDefaults = true
        ignoreUnknownKeys = true
    }

/** Response body of `/readyz`; the status is 503 while [lacking] isn't empty. */
@Serializable
data class ReadinessDocument(
    val ready: Boolean,
    val lacking: List<String>,
)

/** Response body of `/status`. The node routes by [version]. */
@Serializable
data class StatusDocument(
    val node: NodeId,
    val failureDomain: FailureDomainId,
    val incarnation: Long,
    val status: NodeStatus,
    val ready: Boolean,
    val version: Long,
    val offset: Long,
    val contentHash: String,
    val target: TargetRecord?,
    val liveNodes: Int,
    val heldMoves: List<MoveId>,
    val upSinceMillis: Long,
    val nowMillis: Long,
    val evacuatedDomains: List<FailureDomainId> = emptyList(),
)

/** Response body of `/versions`: the latest verdicts and the times at which this node put versions in force. */
@Serializable
data class VersionsDocument(
    val node: NodeId,
    val version: Long,
    val verdicts: List<PatchVerdict>,
    val inForce: List<VersionInForce>,
    val members: List<MemberDocument>,
)

/** A member in the current version. */
@Serializable
data class MemberDocument(
    val member: MemberId,
    val name: String,
    val movePriority: MovePriority,
)

/** Time in epoch milliseconds of the node's clock since which the node routes by [version]. */
@Serializable
data class VersionInForce(
    val version: Long,
    val sinceMillis: Long,
)

/** Response body of `/moves`. */
@Serializable
data class MovesDocument(
    val node: NodeId,
    val moves: List<MoveDocument>,
)

/** A move with the priority of its member. [held] is true if this node sends no calls to the new release. */
@Serializable
data class MoveDocument(
    val move: MoveId,
    val member: MemberId?,
    val movePriority: MovePriority?,
    val held: Boolean,
    val state: MoveState,
)

/** Response body of `/nodes`. */
@Serializable
data class NodesDocument(
    val self: NodeId,
    val nodes: List<NodeRecord>,
)

/** Response body of `/burn`: counts of the calls that callers made at this node. */
@Serializable
data class BurnDocument(
    val node: NodeId,
    val failureDomain: FailureDomainId,
    val nowMillis: Long,
    val bucketMillis: Long,
    val routes: List<RouteBurn>,
)

/** Counts of one route, oldest bucket first. */
@Serializable
data class RouteBurn(
    val member: MemberId?,
    val service: ServiceId,
    val route: RouteId,
    val objective: ServiceObjective?,
    val buckets: List<BurnBucket>,
)

/** Counts of the calls in one bucket of time from [startMillis]; [slow] calls exceeded the objective's latency. */
@Serializable
data class BurnBucket(
    val startMillis: Long,
    val calls: Long = 0,
    val errors: Long = 0,
    val slow: Long = 0,
)

/** Error response body of the operator port. */
@Serializable
data class ErrorDocument(
    val error: String,
)

internal fun errorBody(message: String): String = OperatorJson.encodeToString(ErrorDocument(message))
