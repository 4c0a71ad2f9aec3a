package dev.baobabhollow.model

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Holds an IP address and a port. */
@Serializable
data class Endpoint(
    val host: String,
    val port: Int,
) {
    override fun toString(): String = "$host:$port"
}

/** Names the state of a node as others see it. A higher ordinal overrides a lower one at the same incarnation. */
@Serializable
enum class NodeStatus {
    /** Answers probes. */
    @SerialName("alive")
    ALIVE,

    /** Has missed probes and may refute the suspicion with a higher incarnation. */
    @SerialName("suspect")
    SUSPECT,

    /** Has announced that it leaves and takes no new calls. */
    @SerialName("leaving")
    LEAVING,

    /** Is gone. */
    @SerialName("dead")
    DEAD,
}

/**
 * Announces a node. Only the node itself raises [incarnation]; a restart uses a higher one.
 *
 * [controlEndpoint] takes UDP probes and TCP transfers, [peerCallEndpoint] takes calls from entry nodes, and
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
 * Announces the target beside a node with its limits of concurrent calls ([slots]) and connections. [instance] tells apart
 * the processes that follow one another at its address, where targets announce it.
 */
@Serializable
data class TargetRecord(
    val service: ServiceId,
    val release: ReleaseId,
    val slots: Int,
    val connections: Int,
    val status: TargetStatus = TargetStatus.SERVING,
    val instance: String? = null,
)

/** Says whether a target takes new calls. */
@Serializable
enum class TargetStatus {
    /** Takes new calls. */
    @SerialName("serving")
    SERVING,

    /** Finishes its calls and takes no new ones. */
    @SerialName("draining")
    DRAINING,

    /** Cannot be reached from its own node. */
    @SerialName("down")
    DOWN,
}
