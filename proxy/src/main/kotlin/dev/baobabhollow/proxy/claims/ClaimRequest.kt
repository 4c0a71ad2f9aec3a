package dev.baobabhollow.proxy.claims

import dev.baobabhollow.model.KeyClaim

/** A message to the claims thread. */
internal sealed interface ClaimsMessage

/** Requests a decision about [handle] before [deadlineMillis] (epoch milliseconds). */
internal class ClaimRequest(
    val handle: ClaimHandle,
    val deadlineMillis: Long,
    private val onResult: (ClaimResult) -> Unit,
) : ClaimsMessage {
    /** True once the call has its result. */
    var isReplied = false
        private set

    /** Passes the result to the call; later calls have no effect. */
    fun reply(result: ClaimResult) {
        if (isReplied) return
        isReplied = true
        onResult(result)
    }
}

/** Requests a record that releases [handle]. */
internal class ReleaseRequest(
    val handle: ClaimHandle,
) : ClaimsMessage

/** Wakes the claims thread. */
internal data object Wake : ClaimsMessage

internal fun ClaimHandle.toClaim(release: Boolean) = KeyClaim(key.text, claimant, key.deadlineMillis, release)
