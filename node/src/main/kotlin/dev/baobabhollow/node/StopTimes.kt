package dev.baobabhollow.node

/**
 * Deadlines of a planned stop: new calls are accepted until the first, and calls in flight may complete until the
 * second.
 */
internal data class StopTimes(
    val serveUntilMillis: Long,
    val drainUntilMillis: Long,
) {
    companion object {
        /** Time reserved for closing connections and threads after the drain. */
        private const val CLOSE_MILLIS = 700L

        /** The platform detects an unready node after two failed probes, sent one second apart. */
        private const val SERVE_MILLIS = 2_200L

        /** Largest share of the stop time in which new calls are accepted, so that they can still complete. */
        private const val SERVE_SHARE = 0.5

        fun of(
            limits: LimitSettings,
            nowMillis: Long,
        ): StopTimes {
            val stopSeconds = limits.stopWithinSeconds ?: return StopTimes(nowMillis, nowMillis + limits.drainMillis)
            val stopMillis = (stopSeconds * MILLIS_PER_SECOND).toLong()
            return StopTimes(
                serveUntilMillis = nowMillis + minOf(SERVE_MILLIS, (stopMillis * SERVE_SHARE).toLong()),
                drainUntilMillis = nowMillis + (stopMillis - CLOSE_MILLIS).coerceAtLeast(0),
            )
        }

        private const val MILLIS_PER_SECOND = 1_000.0
    }
}
