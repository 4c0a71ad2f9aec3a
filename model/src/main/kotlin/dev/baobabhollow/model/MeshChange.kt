package dev.baobabhollow.model

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * Holds what differs between two configurations. [members] and [services] are stated as a whole if any of them differs, and
 * are null if none does.
 */
@Serializable
data class MeshChange(
    val members: Map<MemberId, MemberConfig>? = null,
    val services: Map<ServiceId, ServiceConfig>? = null,
    val putRoutes: Map<RouteId, RouteConfig> = emptyMap(),
    val removedRoutes: Set<RouteId> = emptySet(),
    val callerLimits: CallerLimits? = null,
) {
    /** Number of routes that differ. */
    val routeCount: Int get() = putRoutes.size + removedRoutes.size

    /** Returns the configuration that [base] becomes. Routes that stay the same keep their instances. */
    fun applyTo(base: MeshConfig): MeshConfig {
        val routes = LinkedHashMap(base.routes)
        removedRoutes.forEach(routes::remove)
        routes.putAll(putRoutes)
        return MeshConfig(members ?: base.members, services ?: base.services, routes, callerLimits)
    }

    /** Compares configurations. */
    companion object {
        /** Returns what turns [base] into [next]. */
        fun between(
            base: MeshConfig,
            next: MeshConfig,
        ) = MeshChange(
            members = next.members.takeIf { it != base.members },
            services = next.services.takeIf { it != base.services },
            putRoutes = next.routes.filter { (id, route) -> base.routes[id] != route },
            removedRoutes = base.routes.keys - next.routes.keys,
            callerLimits = next.callerLimits,
        )
    }
}

/**
 * Stands for a [ConfigurationRecord] between nodes, of which the receiver holds [baseVersion]. [meshHash] is that of the
 * resulting configuration. It is never in the log.
 */
@Serializable
@SerialName("meshChange")
data class MeshChangeRecord(
    val baseVersion: Long,
    val version: Long,
    val change: MeshChange,
    val meshHash: String,
) : RecordBody
