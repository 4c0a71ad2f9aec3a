package dev.baobabhollow.platformlog

/**
 * Limits of one [HttpPlatformLog].
 *
 * A read may take [responseTimeoutMillis] longer than its wait. [maxConnections] is also the maximum number of
 * concurrent calls.
 */
data class LogClientLimits(
    val connectTimeoutMillis: Long = 1_000,
    val responseTimeoutMillis: Long = 5_000,
    val maxResponseBytes: Int = 16 * 1024 * 1024,
    val maxConnections: Int = 8,
    /** Idle time in seconds before TCP keep-alive probes; two unanswered ones a second apart close the connection. */
    val keepAliveSeconds: Int? = null,
    /** True if a response without a length is complete when the connection closes, also if it was truncated. */
    val allowsCloseDelimitedResponses: Boolean = false,
)
