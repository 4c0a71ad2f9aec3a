package dev.baobabhollow.proxy

import dev.baobabhollow.calls.Route
import dev.baobabhollow.calls.TenantTable
import dev.baobabhollow.model.ApiKeyDigest
import dev.baobabhollow.model.TenantId

/** API key that a request presents. */
sealed interface PresentedKey {
    /** The request presents no key. */
    data object Absent : PresentedKey

    /** The request presents credentials that cannot be a key, or more than one. */
    data object Malformed : PresentedKey

    /** The request presents the key with this [digest]. */
    data class Present(
        val digest: ApiKeyDigest,
    ) : PresentedKey
}

/** Returns the key in [values], the values of all `Authorization` headers of a request. */
internal fun bearerKey(values: List<String>): PresentedKey {
    if (values.isEmpty()) return PresentedKey.Absent
    val value = values.singleOrNull()?.trim { it in WHITESPACE } ?: return PresentedKey.Malformed
    val isBearer =
        value.startsWith(BEARER, ignoreCase = true) &&
            value.drop(BEARER.length).firstOrNull()?.let { it in WHITESPACE } == true
    if (!isBearer) return PresentedKey.Malformed
    // Header bytes are decoded as Latin-1, so this restores the bytes that the caller sent.
    val key = value.substring(BEARER.length).trim { it in WHITESPACE }
    return PresentedKey.Present(ApiKeyDigest.of(key.toByteArray(Charsets.ISO_8859_1)))
}

/** Result of the check of the key that a request presents. */
internal sealed interface Identity {
    /** The request may be forwarded for [tenant], or without one. */
    data class Accepted(
        val tenant: TenantId?,
    ) : Identity

    /** The request must be refused. */
    data object Refused : Identity
}

/**
 * Checks [key] against these tenants, which must be those in force. A key that is presented must be known, also on a
 * route that requires none, so that a caller notices a wrong key at its first request.
 */
internal fun TenantTable.identify(
    key: PresentedKey,
    route: Route,
): Identity =
    when (key) {
        PresentedKey.Absent -> if (route.config.isAuthExempt) Identity.Accepted(null) else Identity.Refused
        PresentedKey.Malformed -> Identity.Refused
        is PresentedKey.Present -> tenantOf(key.digest)?.let { Identity.Accepted(it) } ?: Identity.Refused
    }

private const val BEARER = "Bearer"
private const val WHITESPACE = " \t"
