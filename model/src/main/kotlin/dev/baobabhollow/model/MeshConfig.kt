package dev.baobabhollow.model

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** One version of the mesh configuration, as written by operators. */
@Serializable
data class MeshConfig(
    val members: Map<MemberId, MemberConfig> = emptyMap(),
    val services: Map<ServiceId, ServiceConfig> = emptyMap(),
    val routes: Map<RouteId, RouteConfig> = emptyMap(),
    val callerLimits: CallerLimits? = null,
    val tenants: Map<TenantId, TenantConfig> = emptyMap(),
    /** True if the configuration states its tenants and has none, so that no API key is valid. */
    val isTenantListEmpty: Boolean = false,
) {
    /** True if callers must present an API key of one of [tenants]. */
    val isKeyRequired: Boolean get() = tenants.isNotEmpty() || isTenantListEmpty

    /** Contains the empty configuration. */
    companion object {
        /** The configuration of version 0, without members, services or routes. */
        val EMPTY = MeshConfig()
    }
}

/**
 * Limits on the size and the duration of callers' requests. If a configuration has none, nodes use the limits of their
 * settings.
 */
@Serializable
data class CallerLimits(
    val maxHeaderBytes: Int,
    val maxBodyBytes: Long,
    val headerTimeoutMillis: Long,
    val idleTimeoutMillis: Long,
)

/** Name of a member and its priority in decisions on moves. */
@Serializable
data class MemberConfig(
    val name: String,
    val movePriority: MovePriority = MovePriority.TAKE_BACK,
)

/** Which wrong decision on a move is worse for a member. */
@Serializable
enum class MovePriority {
    /** Taking back a good release is better than completing the move to a bad one. */
    @SerialName("takeBack")
    TAKE_BACK,

    /** Completing moves to good releases in time matters more. */
    @SerialName("completion")
    COMPLETION,
}

/** Placeholder release of a service whose releases are announced by its targets instead of named by an operator. */
val ANNOUNCED_RELEASE = ReleaseId("announced")

/** Release of a target that has not announced it yet. */
val UNKNOWN_RELEASE = ReleaseId("")

/**
 * Configuration of a service.
 *
 * [initialRelease] must be one of [releases]; it receives all calls until the first move of the service is done. If it
 * is [ANNOUNCED_RELEASE], calls go to the release that most targets announce, until a move is ordered.
 */
@Serializable
data class ServiceConfig(
    val member: MemberId,
    val releases: Set<ReleaseId>,
    val initialRelease: ReleaseId,
    val objective: ServiceObjective = ServiceObjective(),
    /** Path of the targets' health check, or null if the configuration does not specify it. */
    val healthPath: String? = null,
    /** Limit of requests to targets that have started recently, or null for none. */
    val warmUp: WarmUpConfig? = null,
)

/**
 * Warm-up of targets: a target is cold for [durationMillis] after its start, and may become cold again. While it is, it
 * can handle [requestsPerSecond].
 */
@Serializable
data class WarmUpConfig(
    val requestsPerSecond: Double,
    val durationMillis: Long,
)

/**
 * Service-level objective. [availability] is the fraction of calls, between 0 and 1, that must succeed, and [fastShare]
 * the fraction whose latency must not exceed [fastMillis] milliseconds.
 */
@Serializable
data class ServiceObjective(
    val availability: Double = 0.999,
    val fastMillis: Long = 250,
    val fastShare: Double = 0.99,
)

/**
 * Routes calls whose path starts with [pathPrefix] to [service].
 *
 * A call that a target may have run is retried only if the route is [idempotent]. [timeoutMillis] limits the duration
 * of a call from its arrival at the entry node.
 */
@Serializable
data class RouteConfig(
    val service: ServiceId,
    val pathPrefix: String,
    val idempotent: Boolean = true,
    val callClass: CallClass = CallClass.LOOKUP,
    val timeoutMillis: Long = 5_000,
    /** Host that the route matches; null matches all hosts. */
    val host: String? = null,
    /** Weighted services that share the calls, [service] first; empty if there is only one. */
    val split: List<SplitPart> = emptyList(),
    /** Maximum number of targets to which one call is sent; null means the limit of the node's settings. */
    val maxTargets: Int? = null,
    /** Latency that callers want a response to meet, in milliseconds, or null if none is stated. */
    val targetLatencyMillis: Long? = null,
    /** Priority at admission, where 0 is the highest; null means the priority of [callClass]. */
    val priority: Int? = null,
    /** True if calls without an API key are accepted although the configuration requires one. */
    val isAuthExempt: Boolean = false,
)

/** One service of a weighted split. It receives [weight] out of the sum of all weights of the calls on the route. */
@Serializable
data class SplitPart(
    val service: ServiceId,
    val weight: Int,
)

/** Class of a call, which determines its order at admission. */
@Serializable
enum class CallClass {
    /** Short call, admitted before uploads. */
    @SerialName("lookup")
    LOOKUP,

    /** Call that streams a large body and may be slow. */
    @SerialName("upload")
    UPLOAD,
}
