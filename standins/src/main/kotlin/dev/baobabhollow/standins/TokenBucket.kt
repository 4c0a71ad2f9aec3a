package dev.baobabhollow.standins

/** Token bucket whose burst is a tenth of its rate per second. Confined to one thread. */
internal class TokenBucket {
    private var tokens = 1.0
    private var refilledAtNanos = System.nanoTime()

    /** Takes one token at the rate [perSecond] and returns 0, or returns the milliseconds until the next token. */
    fun take(
        perSecond: Int,
        nowNanos: Long = System.nanoTime(),
    ): Long {
        if (perSecond <= 0) return REFUSED_RETRY_MILLIS
        val refill = (nowNanos - refilledAtNanos) * perSecond / NANOS_PER_SECOND
        tokens = (tokens + refill).coerceAtMost(maxOf(1.0, perSecond * BURST_SECONDS))
        refilledAtNanos = nowNanos
        if (tokens >= 1) {
            tokens -= 1
            return 0
        }
        return ((1 - tokens) * MILLIS_PER_SECOND / perSecond).toLong() + 1
    }

    private companion object {
        const val NANOS_PER_SECOND = 1e9
        const val MILLIS_PER_SECOND = 1e3
        const val BURST_SECONDS = 0.1
        const val REFUSED_RETRY_MILLIS = 1_000L
    }
}
