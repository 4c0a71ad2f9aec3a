package dev.baobabhollow.peers

import java.util.random.RandomGenerator
import kotlin.math.min

/**
 * Draws waiting times between 0 and an exponentially rising limit (full jitter), so that many nodes that fail at the same
 * moment do not try again at the same moment. Not safe for use by several threads.
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
