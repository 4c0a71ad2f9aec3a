package dev.baobabhollow.configuration

import dev.baobabhollow.model.ConfigurationRecord
import dev.baobabhollow.model.ConfigurationState
import dev.baobabhollow.model.LogEntry
import dev.baobabhollow.model.MeshChange
import dev.baobabhollow.model.MeshChangeRecord
import dev.baobabhollow.model.MeshConfig
import dev.baobabhollow.model.TenantConfig
import dev.baobabhollow.model.TenantId

/**
 * Configurations at the most recent offsets, the bases for delta encoding: a peer that holds one of them is sent only
 * the changes since then. The configurations share the instances of equal routes. Not thread-safe.
 */
internal class RecentMeshes {
    private class Remembered(
        val offset: Long,
        val version: Long,
        val mesh: MeshConfig,
    )

    private val remembered = ArrayDeque<Remembered>()

    fun add(state: ConfigurationState) {
        remembered.addLast(Remembered(state.offset, state.version, state.mesh))
        if (remembered.size > MAX_REMEMBERED) remembered.removeFirst()
    }

    /** Forgets all configurations. Must be called at the start of an era, in which offsets are assigned again. */
    fun clear() = remembered.clear()

    /**
     * Returns [entry] with the change since [offset] in place of its whole configuration. Returns [entry] itself if it
     * does not hold the configuration of [now], if that of [offset] is not known or if more than half of the routes
     * differ.
     */
    fun deltaEncoded(
        entry: LogEntry,
        offset: Long,
        now: ConfigurationState,
        hasher: ContentHasher,
    ): LogEntry {
        val body = entry.record.body as? ConfigurationRecord ?: return entry
        val base = remembered.firstOrNull { it.offset == offset } ?: return entry
        if (base.version >= body.version || body.version != now.version) return entry
        val change = MeshChange.between(base.mesh, now.mesh)
        if (change.routeCount * 2 > now.mesh.routes.size) return entry
        val delta = MeshChangeRecord(base.version, body.version, change, hasher.hash(now.mesh))
        return entry.copy(record = entry.record.copy(body = delta))
    }

    private companion object {
        /** Covers a burst of six versions a second for longer than a node may lag behind. */
        const val MAX_REMEMBERED = 24
    }
}

/**
 * Returns this configuration with each route and tenant that equals the one in [base] replaced by the instance in
 * [base]. If no tenant differs, the map of tenants is that of [base].
 */
internal fun MeshConfig.sharing(base: MeshConfig): MeshConfig =
    copy(routes = sharedEntries(routes, base.routes), tenants = sharedTenants(base))

private fun MeshConfig.sharedTenants(base: MeshConfig): Map<TenantId, TenantConfig> {
    val shared = sharedEntries(tenants, base.tenants)
    val isSame = shared.size == base.tenants.size && shared.all { (id, tenant) -> base.tenants[id] === tenant }
    return if (isSame) base.tenants else shared
}

private fun <K, V : Any> sharedEntries(
    entries: Map<K, V>,
    base: Map<K, V>,
): Map<K, V> {
    if (entries.isEmpty() || base.isEmpty()) return entries
    val shared = LinkedHashMap<K, V>(entries.size * 2)
    entries.forEach { (id, entry) -> shared[id] = base[id]?.takeIf { it == entry } ?: entry }
    return shared
}
