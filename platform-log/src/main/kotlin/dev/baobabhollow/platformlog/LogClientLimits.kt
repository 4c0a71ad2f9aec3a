package dev.baobabhollow.platformlog

/**
 * Bounds what one [HttpPlatformLog] uses.
 *
 * A read may take [responseTimeoutMillis] longer than its wait. [maxConnections] is also the number of calls at one time.
 */
data class LogClientLimits(
    val connectTimeoutMillis: Long = 1_000,
    val responseTimeoutMillis: Long = 5_000,
    val maxResponseBytes: Int = 16 * 1024 * 1024,
    val maxConnections: Int = 8,
    /** Idle time in seconds after which the system probes a connection and, failing twice a second apart, closes it. */
    val keepAliveSeconds: Int? = null,
)
