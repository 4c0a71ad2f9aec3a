package dev.baobabhollow.model

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Changes that take effect atomically as one new version. */
@Serializable
data class Patch(
    val changes: List<Change>,
)

/** A change of one entry of the configuration. */
@Serializable
sealed interface Change {
    /** Adds or replaces a member. */
    @Serializable
    @SerialName("putMember")
    data class PutMember(
        val member: MemberId,
        val config: MemberConfig,
    ) : Change

    /** Removes a member, which must have no services. */
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

    /** Removes a service, which must have no routes. */
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

    /** Adds or replaces a tenant. From then on, callers must present an API key of a tenant. */
    @Serializable
    @SerialName("putTenant")
    data class PutTenant(
        val tenant: TenantId,
        val config: TenantConfig,
    ) : Change

    /** Removes a tenant and its keys. If it is the last one, no key is valid. */
    @Serializable
    @SerialName("removeTenant")
    data class RemoveTenant(
        val tenant: TenantId,
    ) : Change

    /** Starts a move of the traffic of a service from its current release to another. */
    @Serializable
    @SerialName("startMove")
    data class StartMove(
        val move: MoveId,
        val plan: MovePlan,
    ) : Change

    /** Cancels a move that has not finished: all calls go back to the old release. */
    @Serializable
    @SerialName("cancelMove")
    data class CancelMove(
        val move: MoveId,
    ) : Change
}

/**
 * Releases and schedule of a move. All times are epoch milliseconds: traffic starts to shift at [startAtMillis], all
 * calls go to release [to] by [completeByMillis], and release [from] remains available until [watchUntilMillis].
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
