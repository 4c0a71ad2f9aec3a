package dev.baobabhollow.node

import dev.baobabhollow.model.FailureDomainId
import dev.baobabhollow.model.MemberId
import dev.baobabhollow.model.NodeId
import dev.baobabhollow.model.ReleaseId
import dev.baobabhollow.model.ServiceId
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * Settings of one node, as its settings file states them.
 *
 * [seeds] are control endpoints of other nodes; [platformLog] is the endpoint of the platform log. Without a [target]
 * or an [announcedTarget] the node only forwards calls to other nodes. [platform] selects the protocols of the log, of
 * callers and of targets; [readiness] is the endpoint of the platform's readiness probe. [members] overrides values of
 * the members' move policies. Without [quotas], the limits of tenants are not enforced.
 * Without [leaving], each call decides alone whether it leaves the failure domain. [faultInjection] enables `POST /faults` at the operator port.
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
    val quotas: QuotaLimitSettings? = null,
    val coldTargets: ColdTargetLimits? = null,
    val leaving: LeavingWeights? = null,
)

/** Platform that a node can run on. */
@Serializable
enum class PlatformKind {
    /** The mesh's native protocols, without a foreign platform. */
    @SerialName("own")
    OWN,

    /** The platform of the consortium that shares the mesh. */
    @SerialName("consortium")
    CONSORTIUM,
}

/**
 * Settings of a target that runs on the node's VM and announces itself: it listens at [endpoint], provides [service]
 * and sends a heartbeat to [announcements] every [heartbeatSeconds].
 */
@Serializable
data class AnnouncedTargetSettings(
    val endpoint: EndpointText,
    val service: ServiceId,
    val announcements: EndpointText,
    val heartbeatSeconds: Double = 1.5,
)

/**
 * Limits the retries that all nodes together may send to targets within a few seconds: [share] of the calls to a
 * service, and [slack] attempts more, or two per node if that is null.
 */
@Serializable
data class RetrySettings(
    val share: Double = 0.2,
    val slack: Double? = null,
)

/**
 * Bound on the requests of a tenant over all nodes: in any [windowSeconds], at most (rate * window + burst) *
 * (1 + [overShare]) + [slack] reach a target. [failureDomains] is the number of failure domains that a node assumes
 * until it knows more.
 */
@Serializable
data class QuotaLimitSettings(
    val windowSeconds: Double = 5.0,
    val overShare: Double = 0.1,
    val slack: Double = 20.0,
    val failureDomains: Int = 3,
)

/**
 * Bound of the requests that a cold target gets in any second: the `warmUp` rate of its service times [overShare], and
 * [slack] requests.
 */
@Serializable
data class ColdTargetLimits(
    val overShare: Double,
    val slack: Double,
)

/**
 * Weights of the decision how many calls leave the failure domain, made every [intervalMillis]. A call must save
 * [transitMillis], the larger of [minSavedMillis] and [minSavedObjectiveShare] of its objective, and
 * [millisPerKilobyte] for its bytes in both directions, in a domain whose targets hold less than [roomShare] of their
 * slots. The share of calls changes by at most [maxStepShare] at a time, and not while the time saved is within
 * [hysteresisShare] of the required one.
 */
@Serializable
data class LeavingWeights(
    val intervalMillis: Long = 300,
    val transitMillis: Double = 3.0,
    val minSavedMillis: Double = 10.0,
    val minSavedObjectiveShare: Double = 0.1,
    val millisPerKilobyte: Double = 4.5,
    val roomShare: Double = 0.8,
    val maxStepShare: Double = 0.1,
    val hysteresisShare: Double = 0.25,
)

/**
 * Endpoints that a node listens on: [callers] for calls from clients, [peerCalls] for calls from other nodes,
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
 * Settings of the target on the node's VM. The node sends it at most [slots] concurrent calls over at most
 * [connections] connections and polls its health at [healthPath], unless that is null.
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
 * Resource limits of a node. [drainMillis] is the time that calls in flight have to complete at a planned stop, and
 * [verdictWaitMillis] is the longest wait of `GET /verdicts`.
 */
@Serializable
data class LimitSettings(
    val eventLoopThreads: Int = 1,
    val drainMillis: Long = 30_000,
    val verdictWaitMillis: Long = 30_000,
    val operatorBodyBytes: Int = 65_536,
    /** Seconds from the begin of a planned stop to the end of the process; if null, [drainMillis] applies. */
    val stopWithinSeconds: Double? = null,
    /** Files and sockets that the process may have open; if null, the limit of the operating system applies. */
    val openFiles: Int? = null,
)
