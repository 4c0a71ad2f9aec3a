package dev.baobabhollow.node

/** Deadlines of a planned stop, in epoch milliseconds. */
internal data class StopTimes(
    /** Time until which the node announces nothing but the close of its connections. */
    val serveUntilMillis: Long,
    /** Time until which the calls in flight may complete. */
    val drainUntilMillis: Long,
) {
    /**
     * Time until which the node waits for its leave to be announced, after which it refuses new calls. It leaves most of
     * the time until [drainUntilMillis] to the calls that were accepted last.
     */
    val announceUntilMillis: Long
        get() = serveUntilMillis + minOf(LEAVE_MILLIS, (drainUntilMillis - serveUntilMillis) / ANNOUNCE_DIVISOR)

    companion object {
        /** Time within which all nodes must stop sending new calls to a leaving target. */
        private const val LEAVE_MILLIS = 3_000L

        /** Three rounds of announcements take 0.3 s, half of what this leaves of a stop time of 6 s. */
        private const val ANNOUNCE_DIVISOR = 4

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
