package dev.baobabhollow.calls

import dev.baobabhollow.model.ApiKeyDigest
import dev.baobabhollow.model.MeshConfig
import dev.baobabhollow.model.TenantConfig
import dev.baobabhollow.model.TenantId

/**
 * Tenants of a configuration and their API keys, compiled for lookups in constant time. Immutable.
 */
class TenantTable private constructor(
    /** True if callers must present a key. Otherwise no request has a tenant. */
    val isKeyRequired: Boolean,
    /** Tenants by identifier. */
    val configs: Map<TenantId, TenantConfig>,
) {
    private val keyCount = configs.values.sumOf { it.keys.size }

    // Open addressing instead of a hash map, whose entries would take another 40 bytes for each key.
    private val slots = if (keyCount == 0) 1 else Integer.highestOneBit(keyCount) * SLOTS_PER_KEY
    private val digests = arrayOfNulls<ApiKeyDigest>(slots)
    private val owners = arrayOfNulls<TenantId>(if (keyCount == 0) 0 else slots)

    init {
        configs.forEach { (tenant, config) -> config.keys.forEach { put(it, tenant) } }
    }

    /** Returns the tenant that [key] belongs to, or null if the configuration does not contain the key. */
    fun tenantOf(key: ApiKeyDigest): TenantId? {
        val slot = slotOf(key)
        return if (digests[slot] == null) null else owners[slot]
    }

    /** Returns the table for [mesh], which is this one if the tenants are the same instances. */
    internal fun updatedFor(mesh: MeshConfig): TenantTable =
        if (mesh.tenants === configs && mesh.isKeyRequired == isKeyRequired) this else of(mesh)

    private fun put(
        key: ApiKeyDigest,
        tenant: TenantId,
    ) {
        val slot = slotOf(key)
        digests[slot] = key
        owners[slot] = tenant
    }

    /** Returns the slot of [key], or the empty one at which the search for it ends. */
    private fun slotOf(key: ApiKeyDigest): Int {
        var slot = key.prefix.toInt() and (slots - 1)
        while (digests[slot].let { it != null && it != key }) slot = (slot + 1) and (slots - 1)
        return slot
    }

    /** Compiles tables. */
    companion object {
        /** Bounds the occupancy to 1/2, so that a search passes few keys. */
        private const val SLOTS_PER_KEY = 4

        /** Table without tenants, which requires no keys. */
        val EMPTY = TenantTable(false, emptyMap())

        /** Compiles the tenants of [mesh]. */
        fun of(mesh: MeshConfig): TenantTable = if (mesh.isKeyRequired) TenantTable(true, mesh.tenants) else EMPTY
    }
}
