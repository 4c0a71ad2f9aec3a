package dev.baobabhollow.proxy.claims

import dev.baobabhollow.calls.CallerKey

/** Says whether a call may be handed over under its caller-made key. */
sealed interface ClaimResult {
    /** The call alone may run. If it is certainly not handed over after all, give [handle] to [LogClaims.release]. */
    data class Won(
        val handle: ClaimHandle,
    ) : ClaimResult

    /** [claimant] claimed the key before and may have run the request. */
    data class Lost(
        val claimant: String,
    ) : ClaimResult

    /** The claim could not be decided; this call must not run. */
    data class NotRun(
        val reason: String,
    ) : ClaimResult
}

/** Names the claim that handles [key]. */
data class ClaimHandle(
    val key: CallerKey,
    val claimant: String,
)
