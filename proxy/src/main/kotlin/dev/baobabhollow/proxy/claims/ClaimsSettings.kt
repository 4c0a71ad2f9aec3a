package dev.baobabhollow.proxy.claims

/**
 * Sets up a [LogClaims]. All nodes of the fleet must use the same number of [partitions], or two of them can win one key.
 *
 * @property queueCapacity calls that may wait for the claims thread; more are refused
 * @property maxBatch claims in one append
 * @property lingerMillis time for which the first claim of a batch waits for others
 * @property timeoutMillis longest time for the append of a batch and for reading it back
 * @property maxPendingReleases releases that wait for the log; a release above this is lost and its key stays blocked
 * until its deadline
 * @property maxBackoffMillis longest time between two attempts to reach a log that is down
 * @property maxKeysPerPartition unexpired keys of the whole fleet that a node remembers; more are not run
 */
data class ClaimsSettings(
    val partitions: Int = 4,
    val queueCapacity: Int = 4_096,
    val maxBatch: Int = 512,
    val lingerMillis: Long = 2,
    val timeoutMillis: Long = 2_000,
    val maxPendingReleases: Int = 16_384,
    val maxBackoffMillis: Long = 2_000,
    val maxKeysPerPartition: Int = 50_000,
)
