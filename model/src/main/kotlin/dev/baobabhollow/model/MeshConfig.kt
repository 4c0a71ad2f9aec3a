package dev.baobabhollow.model

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Holds one version of the mesh configuration as operators state it. */
@Serializable
data class MeshConfig(
    val members: Map<MemberId, MemberConfig> = emptyMap(),
    val services: Map<ServiceId, ServiceConfig> = emptyMap(),
    val routes: Map<RouteId, RouteConfig> = emptyMap(),
) {
    /** Holds the configuration of version 0. */
    companion object {
        /** Has no members, services or routes. */
        val EMPTY = MeshConfig()
    }
}

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

/**
 * Describes a service.
 *
 * [initialRelease] receives all calls until the first move of the service is done and must be one of [releases].
 */
@Serializable
data class ServiceConfig(
    val member: MemberId,
    val releases: Set<ReleaseId>,
    val initialRelease: ReleaseId,
    val objective: ServiceObjective = ServiceObjective(),
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
