package dev.baobabhollow.proxy.claims

import dev.baobabhollow.model.KeyClaim

/** Messages to the claims thread. */
internal sealed interface ClaimsMessage

/** Asks for a decision about [handle] before [deadlineMillis] (epoch milliseconds). */
internal class ClaimRequest(
    val handle: ClaimHandle,
    val deadlineMillis: Long,
    private val onResult: (ClaimResult) -> Unit,
) : ClaimsMessage {
    /** Tells whether the call has its result. */
    var isAnswered = false
        private set

    /** Gives the call its result, once. */
    fun reply(result: ClaimResult) {
        if (isAnswered) return
        isAnswered = true
        onResult(result)
    }
}

/** Asks for a record that gives up [handle]. */
internal class ReleaseRequest(
    val handle: ClaimHandle,
) : ClaimsMessage

/** Wakes the claims thread. */
internal data object Wake : ClaimsMessage

internal fun ClaimHandle.toClaim(release: Boolean) = KeyClaim(key.text, claimant, key.deadlineMillis, release)
