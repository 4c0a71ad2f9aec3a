package dev.baobabhollow.calls

/**
 * Properties of a call that determine its latency penalty for a target in another failure domain. The penalty grows
 * with [transferBytes], the length of the request body and the expected one of the response, and with
 * [objectiveMillis], the call's latency objective, or zero if there is none.
 */
data class CallProfile(
    val transferBytes: Long = 0,
    val objectiveMillis: Long = 0,
)
