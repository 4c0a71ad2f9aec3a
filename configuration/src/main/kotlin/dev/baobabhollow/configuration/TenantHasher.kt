package dev.baobabhollow.configuration

import com.dynatrace.hash4j.hashing.Hashing
import dev.baobabhollow.model.ApiKeyDigest
import dev.baobabhollow.model.ModelJson
import dev.baobabhollow.model.TenantConfig
import dev.baobabhollow.model.TenantId

/**
 * Computes a hash of tenants incrementally: the sum of one hash for each tenant without its keys and one for each key.
 * Only those that differ from the previous tenants are hashed. Not thread-safe.
 */
internal class TenantHasher {
    private var tenants: Map<TenantId, TenantConfig> = emptyMap()
    private var sumLow = 0L
    private var sumHigh = 0L

    /** Number of hashes computed so far, by which tests measure the cost of a change. */
    var hashCount = 0L
        private set

    /** Returns the hash of [next] as text. */
    fun hash(next: Map<TenantId, TenantConfig>): String {
        if (next !== tenants) {
            next.forEach { (id, tenant) -> replace(id, tenants[id], tenant) }
            tenants.forEach { (id, tenant) -> if (id !in next) replace(id, tenant, null) }
            tenants = next
        }
        return "${tenants.size}:$sumHigh:$sumLow"
    }

    private fun replace(
        id: TenantId,
        before: TenantConfig?,
        after: TenantConfig?,
    ) {
        if (before === after) return
        before?.let { addTenant(id, it, sign = -1) }
        after?.let { addTenant(id, it, sign = 1) }
        val keysBefore = before?.keys.orEmpty()
        val keysAfter = after?.keys.orEmpty()
        if (keysBefore === keysAfter) return
        keysBefore.forEach { if (it !in keysAfter) addKey(id, it, sign = -1) }
        keysAfter.forEach { if (it !in keysBefore) addKey(id, it, sign = 1) }
    }

    private fun addTenant(
        id: TenantId,
        tenant: TenantConfig,
        sign: Int,
    ) {
        val text = ModelJson.encodeToString(tenant.copy(keys = emptySet()))
        add("${id.value.length}:${id.value}$text".encodeToByteArray(), sign)
    }

    private fun addKey(
        id: TenantId,
        key: ApiKeyDigest,
        sign: Int,
    ) = add(key.toBytes() + id.value.encodeToByteArray(), sign)

    private fun add(
        bytes: ByteArray,
        sign: Int,
    ) {
        hashCount++
        val hash = Hashing.xxh3_128().hashBytesTo128Bits(bytes)
        sumLow += sign * hash.leastSignificantBits
        sumHigh += sign * hash.mostSignificantBits
    }
}
