package dev.baobabhollow.node

/** Holds the points in time of a planned stop: calls are served until the first and may end until the second. */
internal data class StopTimes(
    val serveUntilMillis: Long,
    val drainUntilMillis: Long,
) {
    companion object {
        /** Time for closing everything after the drain. */
        private const val CLOSE_MILLIS = 700L

        /** The platform notices after two probes a second apart that a node is not ready. */
        private const val SERVE_MILLIS = 2_200L

        /** Longest part of the time to the end in which new calls are still served, so that they can end. */
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
