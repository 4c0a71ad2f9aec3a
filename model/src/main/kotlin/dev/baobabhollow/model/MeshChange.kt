package dev.baobabhollow.model

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * Difference between two configurations. [members] and [services] are complete if any of their entries differ, and null
 * otherwise. [callerLimits] are always those of the newer configuration.
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

    /** Returns [base] with this change applied. Unchanged routes keep their instances. */
    fun applyTo(base: MeshConfig): MeshConfig {
        val routes = LinkedHashMap(base.routes)
        removedRoutes.forEach(routes::remove)
        routes.putAll(putRoutes)
        return MeshConfig(members ?: base.members, services ?: base.services, routes, callerLimits)
    }

    /** Compares configurations. */
    companion object {
        /** Returns the change from [base] to [next]. */
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
 * Delta encoding of a [ConfigurationRecord], sent between nodes if the receiver holds [baseVersion]. [meshHash] is the
 * hash of the resulting configuration. Never written to the log.
 */
@Serializable
@SerialName("meshChange")
data class MeshChangeRecord(
    val baseVersion: Long,
    val version: Long,
    val change: MeshChange,
    val meshHash: String,
) : RecordBody
