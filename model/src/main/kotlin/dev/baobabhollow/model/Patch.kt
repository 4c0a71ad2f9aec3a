package dev.baobabhollow.model

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Lists changes that take effect together as one version, or not at all. */
@Serializable
data class Patch(
    val changes: List<Change>,
)

/** Changes one entry of the configuration. */
@Serializable
sealed interface Change {
    /** Adds or replaces a member. */
    @Serializable
    @SerialName("putMember")
    data class PutMember(
        val member: MemberId,
        val config: MemberConfig,
    ) : Change

    /** Removes a member without services. */
    @Serializable
    @SerialName("removeMember")
    data class RemoveMember(
        val member: MemberId,
    ) : Change

    /** Adds or replaces a service. */
    @Serializable
    @SerialName("putService")
    data class PutService(
        val service: ServiceId,
        val config: ServiceConfig,
    ) : Change

    /** Removes a service without routes. */
    @Serializable
    @SerialName("removeService")
    data class RemoveService(
        val service: ServiceId,
    ) : Change

    /** Adds or replaces a route. */
    @Serializable
    @SerialName("putRoute")
    data class PutRoute(
        val route: RouteId,
        val config: RouteConfig,
    ) : Change

    /** Removes a route. */
    @Serializable
    @SerialName("removeRoute")
    data class RemoveRoute(
        val route: RouteId,
    ) : Change

    /** Starts a move of the traffic of a service from its current release to another. */
    @Serializable
    @SerialName("startMove")
    data class StartMove(
        val move: MoveId,
        val plan: MovePlan,
    ) : Change

    /** Takes back a move that has not finished. */
    @Serializable
    @SerialName("cancelMove")
    data class CancelMove(
        val move: MoveId,
    ) : Change
}

/**
 * States what a move shall do and by when. All times are points in time in epoch milliseconds:
 * traffic starts to move at [startAtMillis], all calls go to release [to] by [completeByMillis], and release [from] stays
 * usable until [watchUntilMillis].
 */
@Serializable
data class MovePlan(
    val service: ServiceId,
    val from: ReleaseId,
    val to: ReleaseId,
    val startAtMillis: Long,
    val completeByMillis: Long,
    val watchUntilMillis: Long,
)
