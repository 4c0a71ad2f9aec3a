package dev.baobabhollow.model

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * Difference between two configurations. [members] and [services] are complete if any of their entries differ, and null
 * otherwise. [callerLimits] and [isTenantListEmpty] are always those of the newer configuration.
 */
@Serializable
data class MeshChange(
    val members: Map<MemberId, MemberConfig>? = null,
    val services: Map<ServiceId, ServiceConfig>? = null,
    val putRoutes: Map<RouteId, RouteConfig> = emptyMap(),
    val removedRoutes: Set<RouteId> = emptySet(),
    val callerLimits: CallerLimits? = null,
    val putTenants: Map<TenantId, TenantConfig> = emptyMap(),
    val removedTenants: Set<TenantId> = emptySet(),
    val isTenantListEmpty: Boolean = false,
) {
    /** Number of routes that differ. */
    val routeCount: Int get() = putRoutes.size + removedRoutes.size

    /** Returns [base] with this change applied. Unchanged routes keep their instances. */
    fun applyTo(base: MeshConfig): MeshConfig {
        val routes = LinkedHashMap(base.routes)
        removedRoutes.forEach(routes::remove)
        routes.putAll(putRoutes)
        val services = services ?: base.services
        return MeshConfig(
            members ?: base.members,
            services,
            routes,
            callerLimits,
            tenantsAfter(base),
            isTenantListEmpty,
        )
    }

    /** Keeps the instance of the map if no tenant differs, so that nodes need not compile its keys again. */
    private fun tenantsAfter(base: MeshConfig): Map<TenantId, TenantConfig> {
        if (putTenants.isEmpty() && removedTenants.isEmpty()) return base.tenants
        val tenants = LinkedHashMap(base.tenants)
        removedTenants.forEach(tenants::remove)
        tenants.putAll(putTenants)
        return tenants
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
            putTenants = changedTenants(base, next),
            removedTenants = base.tenants.keys - next.tenants.keys,
            isTenantListEmpty = next.isTenantListEmpty,
        )

        private fun changedTenants(
            base: MeshConfig,
            next: MeshConfig,
        ): Map<TenantId, TenantConfig> {
            if (base.tenants === next.tenants) return emptyMap()
            return next.tenants.filter { (id, tenant) ->
                val before = base.tenants[id]
                before !== tenant && before != tenant
            }
        }
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
