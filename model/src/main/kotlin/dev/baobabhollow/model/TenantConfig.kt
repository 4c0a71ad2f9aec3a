package dev.baobabhollow.model

import kotlinx.serialization.Serializable

/** Configuration of a tenant. */
@Serializable
data class TenantConfig(
    /** Digests of the API keys whose requests belong to the tenant. */
    val keys: Set<ApiKeyDigest> = emptySet(),
    /** Priority at admission, where 0 is the highest; takes precedence over that of the route. Null means none. */
    val priority: Int? = null,
    /** Limit of requests per second over all nodes, or null if there is none. */
    val ratePerSecond: Double? = null,
    /** Requests that may exceed [ratePerSecond] at once, or null if there is no limit. */
    val burst: Double? = null,
)
