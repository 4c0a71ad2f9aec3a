package dev.baobabhollow.model

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** An IP address and a port. */
@Serializable
data class Endpoint(
    val host: String,
    val port: Int,
) {
    override fun toString(): String = "$host:$port"
}

/** Status of a node as seen by other nodes. At the same incarnation, a higher ordinal overrides a lower one. */
@Serializable
enum class NodeStatus {
    /** Responds to probes. */
    @SerialName("alive")
    ALIVE,

    /** Has missed probes and may refute the suspicion with a higher incarnation. */
    @SerialName("suspect")
    SUSPECT,

    /** Has announced its departure and accepts no new calls. */
    @SerialName("leaving")
    LEAVING,

    /** Has left or failed. */
    @SerialName("dead")
    DEAD,
}

/**
 * Gossiped description of a node. Only the node itself increases [incarnation], and it does so on each restart.
 *
 * [controlEndpoint] receives UDP probes and TCP transfers, [peerCallEndpoint] receives calls from entry nodes, and
 * [operatorEndpoint] serves operators.
 */
@Serializable
data class NodeRecord(
    val node: NodeId,
    val failureDomain: FailureDomainId,
    val incarnation: Long,
    val status: NodeStatus,
    val controlEndpoint: Endpoint,
    val peerCallEndpoint: Endpoint,
    val operatorEndpoint: Endpoint,
    val target: TargetRecord? = null,
)

/**
 * Description of the target next to a node, with its limits of concurrent calls ([slots]) and [connections]. [instance]
 * distinguishes successive processes at the same address; it is null if the target does not announce it. While the
 * target is cold, [coldPerSecond] is the number of requests a second that its node sends it at most, otherwise null.
 */
@Serializable
data class TargetRecord(
    val service: ServiceId,
    val release: ReleaseId,
    val slots: Int,
    val connections: Int,
    val status: TargetStatus = TargetStatus.SERVING,
    val instance: String? = null,
    val coldPerSecond: Double? = null,
)

/** Whether a target accepts new calls. */
@Serializable
enum class TargetStatus {
    /** Accepts new calls. */
    @SerialName("serving")
    SERVING,

    /** Finishes its running calls and accepts no new ones. */
    @SerialName("draining")
    DRAINING,

    /** Cannot be reached from its own node. */
    @SerialName("down")
    DOWN,
}
