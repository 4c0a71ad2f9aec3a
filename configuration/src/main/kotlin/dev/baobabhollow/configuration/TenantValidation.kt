package dev.baobabhollow.configuration

import dev.baobabhollow.model.ApiKeyDigest
import dev.baobabhollow.model.ConfigError
import dev.baobabhollow.model.MeshConfig
import dev.baobabhollow.model.TenantConfig
import dev.baobabhollow.model.TenantId

/** Number of characters of a digest that an error states, which identify a key among millions. */
private const val SHOWN_DIGEST_CHARS = 12

/** Returns the errors in the tenants of [mesh]. */
internal fun tenantErrors(mesh: MeshConfig): List<ConfigError> =
    mesh.tenants.flatMap { (id, tenant) -> tenantErrors(id, tenant) } + duplicateKeyErrors(mesh)

private fun tenantErrors(
    id: TenantId,
    tenant: TenantConfig,
): List<ConfigError> {
    val path = "$.tenants.$id"
    return buildList {
        addAll(identifierErrors(path, id.value))
        tenant.priority?.let { if (it < 0) add(ConfigError("$path.priority", "$it", "at least 0")) }
        addAll(limitErrors("$path.ratePerSecond", tenant.ratePerSecond))
        addAll(limitErrors("$path.burst", tenant.burst))
        if (tenant.burst != null && tenant.ratePerSecond == null) {
            add(ConfigError("$path.burst", "${tenant.burst}", "no value without ratePerSecond"))
        }
    }
}

private fun limitErrors(
    path: String,
    limit: Double?,
): List<ConfigError> {
    if (limit == null || (limit > 0 && limit.isFinite())) return emptyList()
    return listOf(ConfigError(path, "$limit", "a number above 0, or no value for no limit"))
}

private fun duplicateKeyErrors(mesh: MeshConfig): List<ConfigError> {
    val owners = HashMap<ApiKeyDigest, TenantId>()
    return mesh.tenants.flatMap { (id, tenant) ->
        tenant.keys.mapNotNull { key ->
            val other = owners.putIfAbsent(key, id) ?: return@mapNotNull null
            val shown = key.toString().take(SHOWN_DIGEST_CHARS)
            ConfigError("$.tenants.$id.keys", "\"$shown...\"", "a key that $other does not have")
        }
    }
}
