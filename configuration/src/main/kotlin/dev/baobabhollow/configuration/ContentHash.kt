package dev.baobabhollow.configuration

import com.dynatrace.hash4j.hashing.Hashing
import dev.baobabhollow.model.ConfigurationState
import dev.baobabhollow.model.MeshConfig
import dev.baobabhollow.model.ModelJson
import dev.baobabhollow.model.RouteConfig
import dev.baobabhollow.model.RouteId

/** Returns a hash of the whole [state] as 32 hexadecimal digits. Equal folds have equal hashes. */
fun contentHash(state: ConfigurationState): String = ContentHasher().hash(state)

/**
 * Computes [contentHash] of one state after the other. Only routes that differ from those of the state before are hashed
 * again, since a change of one route out of thousands must not cost as much as all of them. Not safe for use by several
 * threads.
 */
internal class ContentHasher {
    private var routes: Map<RouteId, RouteConfig> = emptyMap()

    // The hashes of all routes are added up, so that they can be replaced one by one and their order does not matter.
    private var sumLow = 0L
    private var sumHigh = 0L

    /** Returns the hash of [state]. */
    fun hash(state: ConfigurationState): String {
        val rest = state.copy(mesh = state.mesh.copy(routes = emptyMap()))
        return digest("${ModelJson.encodeToString(rest)}|${routesText(state.mesh)}")
    }

    /** Returns the hash of [mesh] alone. */
    fun hash(mesh: MeshConfig): String {
        val rest = mesh.copy(routes = emptyMap())
        return digest("${ModelJson.encodeToString(rest)}|${routesText(mesh)}")
    }

    private fun routesText(mesh: MeshConfig): String {
        follow(mesh.routes)
        return "${routes.size}:$sumHigh:$sumLow"
    }

    private fun follow(next: Map<RouteId, RouteConfig>) {
        if (next === routes) return
        for ((id, route) in next) {
            val before = routes[id]
            if (before === route) continue
            if (before != null) add(id, before, sign = -1)
            add(id, route, sign = 1)
        }
        for ((id, route) in routes) {
            if (id !in next) add(id, route, sign = -1)
        }
        routes = next
    }

    private fun add(
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
