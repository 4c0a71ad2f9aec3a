package dev.baobabhollow.node

import dev.baobabhollow.model.FailureDomainId
import dev.baobabhollow.model.MemberId
import dev.baobabhollow.model.NodeId
import dev.baobabhollow.model.ReleaseId
import dev.baobabhollow.model.ServiceId
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * Holds the settings of one node as its settings file states them.
 *
 * [seeds] are control endpoints of other nodes; [platformLog] is the endpoint of the platform log. Without a [target] the
 * node only passes calls on, unless [announcedTarget] says where its target announces itself. [platform] selects the
 * protocols of the log, of callers and of targets; [readiness] is where the platform asks whether the node is ready. [members] replaces values of the members' move policies. [faultInjection] enables
 * `POST /faults` at the operator port.
 */
@Serializable
data class NodeSettings(
    val node: NodeId,
    val failureDomain: FailureDomainId,
    val addresses: AddressSettings,
    val seeds: List<EndpointText> = emptyList(),
    val platformLog: EndpointText,
    val target: TargetSettings? = null,
    val members: Map<MemberId, MovePolicySettings> = emptyMap(),
    val limits: LimitSettings = LimitSettings(),
    val faultInjection: Boolean = false,
    val platform: PlatformKind = PlatformKind.OWN,
    val announcedTarget: AnnouncedTargetSettings? = null,
    val readiness: EndpointText? = null,
    val retries: RetrySettings? = null,
)

/** Names the platforms that a node can run on. */
@Serializable
enum class PlatformKind {
    /** Speaks the protocols of the product itself. */
    @SerialName("own")
    OWN,

    /** Is the platform of the consortium that shares the mesh. */
    @SerialName("consortium")
    CONSORTIUM,
}

/**
 * Describes a target beside the node that announces itself at [announcements]: its [endpoint], and the [service] that runs
 * on the VM. It repeats its heartbeat every [heartbeatSeconds].
 */
@Serializable
data class AnnouncedTargetSettings(
    val endpoint: EndpointText,
    val service: ServiceId,
    val announcements: EndpointText,
    val heartbeatSeconds: Double = 1.5,
)

/**
 * Bounds what all nodes together may send to targets beyond the first attempts within some seconds: [share] of the calls to
 * a service, and [slack] attempts more, or two for each node if that is null.
 */
@Serializable
data class RetrySettings(
    val share: Double = 0.2,
    val slack: Double? = null,
)

/**
 * Names the endpoints that a node listens on: [callers] for calls from clients, [peerCalls] for calls from other nodes,
 * [control] (UDP and TCP) for the control plane and [operator] for operators.
 */
@Serializable
data class AddressSettings(
    val callers: EndpointText,
    val peerCalls: EndpointText,
    val control: EndpointText,
    val operator: EndpointText,
)

/**
 * Describes the target beside the node. A node sends it at most [slots] calls at once over at most [connections]
 * connections and asks [healthPath] for its health, or nothing if that is null.
 */
@Serializable
data class TargetSettings(
    val endpoint: EndpointText,
    val service: ServiceId,
    val release: ReleaseId,
    val slots: Int,
    val connections: Int,
    val healthPath: String? = "/health",
    val healthIntervalMillis: Long = 1_000,
    val healthTimeoutMillis: Long = 500,
)

/**
 * Bounds what a node takes on. [drainMillis] is the time that calls in flight get at a planned stop, and
 * [verdictWaitMillis] the longest wait of `GET /verdicts`.
 */
@Serializable
data class LimitSettings(
    val eventLoopThreads: Int = 1,
    val drainMillis: Long = 30_000,
    val verdictWaitMillis: Long = 30_000,
    val operatorBodyBytes: Int = 65_536,
    /** Time from a planned stop's begin to the process's end, in seconds; null leaves [drainMillis] in force. */
    val stopWithinSeconds: Double? = null,
)
