package dev.baobabhollow.configuration

import com.dynatrace.hash4j.hashing.Hashing
import dev.baobabhollow.model.ConfigurationState
import dev.baobabhollow.model.MeshConfig
import dev.baobabhollow.model.ModelJson
import dev.baobabhollow.model.RouteConfig
import dev.baobabhollow.model.RouteId

/**
 * Returns a 128-bit hash of the whole [state] as 32 hexadecimal digits. States folded from the same records have equal
 * hashes.
 */
fun contentHash(state: ConfigurationState): String = ContentHasher().hash(state)

/**
 * Computes [contentHash] incrementally for successive states. It rehashes only the routes, tenants and API keys that
 * differ from those of the previous state, so that a change of one route among thousands does not cost as much as
 * hashing all of them. Not thread-safe.
 */
internal class ContentHasher {
    private var routes: Map<RouteId, RouteConfig> = emptyMap()

    // Sums of the route hashes: a sum allows one route to be replaced and does not depend on the order of the routes.
    private var sumLow = 0L
    private var sumHigh = 0L
    private val tenantHasher = TenantHasher()

    /** Returns the hash of [state]. */
    fun hash(state: ConfigurationState): String {
        val withoutSums = state.copy(mesh = withoutSummed(state.mesh))
        return digest("${ModelJson.encodeToString(withoutSums)}|${summedText(state.mesh)}")
    }

    /** Returns the hash of [mesh] alone. */
    fun hash(mesh: MeshConfig): String = digest("${ModelJson.encodeToString(withoutSummed(mesh))}|${summedText(mesh)}")

    private fun withoutSummed(mesh: MeshConfig) = mesh.copy(routes = emptyMap(), tenants = emptyMap())

    /** Leaves tenants out if there are none, so that nodes of earlier releases compute the same hash. */
    private fun summedText(mesh: MeshConfig): String {
        updateRouteSums(mesh.routes)
        val routesText = "${routes.size}:$sumHigh:$sumLow"
        val tenantsText = tenantHasher.hash(mesh.tenants)
        return if (mesh.tenants.isEmpty()) routesText else "$routesText|$tenantsText"
    }

    private fun updateRouteSums(next: Map<RouteId, RouteConfig>) {
        if (next === routes) return
        for ((id, route) in next) {
            val before = routes[id]
            if (before === route) continue
            if (before != null) addRouteHash(id, before, sign = -1)
            addRouteHash(id, route, sign = 1)
        }
        for ((id, route) in routes) {
            if (id !in next) addRouteHash(id, route, sign = -1)
        }
        routes = next
    }

    private fun addRouteHash(
        id: RouteId,
        route: RouteConfig,
        sign: Int,
    ) {
        val text = "${id.value.length}:${id.value}${ModelJson.encodeToString(route)}"
        val hash = Hashing.xxh3_128().hashBytesTo128Bits(text.encodeToByteArray())
        sumLow += sign * hash.leastSignificantBits
        sumHigh += sign * hash.mostSignificantBits
    }

    private fun digest(text: String): String =
        Hashing
            .xxh3_128()
            .hashBytesTo128Bits(text.encodeToByteArray())
            .toString()
            .removePrefix("0x")
}
