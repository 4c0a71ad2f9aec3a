package dev.baobabhollow.peers

import java.util.random.RandomGenerator
import kotlin.math.min

/**
 * Exponential backoff with full jitter: delays are drawn between 0 and a limit that doubles with each failure, so that
 * nodes that fail together do not retry together. Not thread-safe.
 */
internal class Backoff(
    private val minMillis: Long,
    private val maxMillis: Long,
    private val random: RandomGenerator,
) {
    private var failures = 0

    fun nextMillis(): Long {
        val limit = min(maxMillis, minMillis shl min(failures, MAX_DOUBLINGS))
        failures++
        return random.nextLong(limit + 1)
    }

    fun reset() {
        failures = 0
    }

    private companion object {
        const val MAX_DOUBLINGS = 20
    }
}
