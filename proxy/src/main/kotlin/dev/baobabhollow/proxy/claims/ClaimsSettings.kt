package dev.baobabhollow.proxy.claims

import dev.baobabhollow.calls.ClaimTable

/**
 * Settings of a [LogClaims]. All nodes of the fleet must use the same number of [partitions], or two can win one key.
 *
 * @property queueCapacity most calls that wait for the claims thread; more are refused
 * @property maxBatch most claims in one append
 * @property lingerMillis time for which the first claim of a batch waits for others
 * @property timeoutMillis timeout of appending a batch and reading it back
 * @property maxPendingReleases most releases that wait for the log; further ones are lost and their keys stay blocked
 * until their deadlines
 * @property maxBackoffMillis longest backoff between two attempts to reach a log that is down
 * @property maxKeysPerPartition most unexpired keys of the whole fleet that a node tracks; claims beyond are not run.
 * The default takes an eighth of the heap, and 50,000 at most
 */
data class ClaimsSettings(
    val partitions: Int = 4,
    val queueCapacity: Int = 4_096,
    val maxBatch: Int = 512,
    val lingerMillis: Long = 2,
    val timeoutMillis: Long = 2_000,
    val maxPendingReleases: Int = 16_384,
    val maxBackoffMillis: Long = 2_000,
    val maxKeysPerPartition: Int = keysPerPartition(Runtime.getRuntime().maxMemory(), partitions),
) {
    internal companion object {
        private const val HEAP_DIVISOR = 8
        private const val MAX_KEYS_PER_PARTITION = 50_000L

        /** Keys that a node with [heapBytes] of heap may track in each of [partitions]. */
        fun keysPerPartition(
            heapBytes: Long,
            partitions: Int,
        ): Int = minOf(heapBytes / HEAP_DIVISOR / partitions / ClaimTable.KEY_BYTES, MAX_KEYS_PER_PARTITION).toInt()
    }
}
