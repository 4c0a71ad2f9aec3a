package dev.baobabhollow.proxy.claims

import dev.baobabhollow.calls.CallerKey

/** Decision on whether a call may be sent to its target under its caller-made key. */
sealed interface ClaimResult {
    /** Only this call may run. If it is certainly not sent after all, pass [handle] to [LogClaims.release]. */
    data class Won(
        val handle: ClaimHandle,
    ) : ClaimResult

    /** [claimant] claimed the key earlier and may have executed the request. */
    data class Lost(
        val claimant: String,
    ) : ClaimResult

    /** The claim could not be decided; this call must not run. */
    data class NotRun(
        val reason: String,
    ) : ClaimResult
}

/** Identifies the claim by which [claimant] holds [key]. */
data class ClaimHandle(
    val key: CallerKey,
    val claimant: String,
)
