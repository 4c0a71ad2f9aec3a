package dev.baobabhollow.model

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Holds one version of the mesh configuration as operators state it. */
@Serializable
data class MeshConfig(
    val members: Map<MemberId, MemberConfig> = emptyMap(),
    val services: Map<ServiceId, ServiceConfig> = emptyMap(),
    val routes: Map<RouteId, RouteConfig> = emptyMap(),
    val callerLimits: CallerLimits? = null,
) {
    /** Holds the configuration of version 0. */
    companion object {
        /** Has no members, services or routes. */
        val EMPTY = MeshConfig()
    }
}

/**
 * Bounds what a caller may send and how long it may take. Nodes use the limits of their settings where a configuration has
 * none.
 */
@Serializable
data class CallerLimits(
    val maxHeaderBytes: Int,
    val maxBodyBytes: Long,
    val headerTimeoutMillis: Long,
    val idleTimeoutMillis: Long,
)

/** Describes a member and what it weighs most when a move is decided. */
@Serializable
data class MemberConfig(
    val name: String,
    val movePriority: MovePriority = MovePriority.TAKE_BACK,
)

/** Says which error of a move decision costs a member more. */
@Serializable
enum class MovePriority {
    /** Prefers to take back a good release over finishing a bad one. */
    @SerialName("takeBack")
    TAKE_BACK,

    /** Prefers finishing good releases in time. */
    @SerialName("completion")
    COMPLETION,
}

/** Names the release of a service whose targets, and not its operator, say which releases there are. */
val ANNOUNCED_RELEASE = ReleaseId("announced")

/** Stands for the release of a target that has not announced it yet. */
val UNKNOWN_RELEASE = ReleaseId("")

/**
 * Describes a service.
 *
 * [initialRelease] receives all calls until the first move of the service is done and must be one of [releases]. With
 * [ANNOUNCED_RELEASE] the calls go to whichever release most targets announce, until a move is ordered.
 */
@Serializable
data class ServiceConfig(
    val member: MemberId,
    val releases: Set<ReleaseId>,
    val initialRelease: ReleaseId,
    val objective: ServiceObjective = ServiceObjective(),
    /** Path at which targets say whether they are healthy, if nodes may learn it from the configuration. */
    val healthPath: String? = null,
)

/**
 * States the service-level objective: [availability] and [fastShare] are fractions of calls in 0..1,
 * [fastMillis] is the latency in milliseconds that [fastShare] of the calls must not exceed.
 */
@Serializable
data class ServiceObjective(
    val availability: Double = 0.999,
    val fastMillis: Long = 250,
    val fastShare: Double = 0.99,
)

/**
 * Sends calls whose path starts with [pathPrefix] to [service].
 *
 * Only calls on an [idempotent] route may be sent again after a target may have run them. [timeoutMillis] bounds a call
 * from its arrival at the entry node.
 */
@Serializable
data class RouteConfig(
    val service: ServiceId,
    val pathPrefix: String,
    val idempotent: Boolean = true,
    val callClass: CallClass = CallClass.LOOKUP,
    val timeoutMillis: Long = 5_000,
    /** Host to which the route is limited; null means all hosts. */
    val host: String? = null,
    /** Services that share the calls by weight, if there are several; [service] is the first of them. */
    val split: List<SplitPart> = emptyList(),
    /** Most targets to which one call is sent; null means the limit of the node's settings. */
    val maxTargets: Int? = null,
    /** Time within which an answer is worth most, or null if that is not stated. */
    val targetLatencyMillis: Long? = null,
    /** Rank at admission, 0 first; null means the rank of [callClass]. */
    val priority: Int? = null,
)

/** Gives [service] its share, [weight] of the sum of all weights, of the calls on a route. */
@Serializable
data class SplitPart(
    val service: ServiceId,
    val weight: Int,
)

/** Orders calls at admission. */
@Serializable
enum class CallClass {
    /** Is short and waits before no upload. */
    @SerialName("lookup")
    LOOKUP,

    /** Streams a large body and may be slow. */
    @SerialName("upload")
    UPLOAD,
}
