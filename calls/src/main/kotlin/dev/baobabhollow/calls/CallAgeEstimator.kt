package dev.baobabhollow.calls

import dev.baobabhollow.model.RouteId
import java.util.concurrent.ConcurrentHashMap

/**
 * Estimates how long ago callers first sent their calls. Most callers of a route use the same timeout, and a caller
 * that retries after a refusal states the time that remains of it. Thread-safe.
 */
class CallAgeEstimator {
    private val routes = ConcurrentHashMap<RouteId, TimeoutCounts>()

    /**
     * Records a call on [route] whose caller waits for [remainingMillis] more, and returns its estimated age in
     * milliseconds.
     */
    fun ageMillis(
        route: RouteId,
        remainingMillis: Long,
    ): Long {
        val timeoutMillis = routes.computeIfAbsent(route) { TimeoutCounts() }.record(remainingMillis)
        return (timeoutMillis - remainingMillis).coerceAtLeast(0)
    }

    /** Removes all routes except [kept]. */
    fun retain(kept: Set<RouteId>) {
        routes.keys.retainAll(kept)
    }
}

/** Counts of the remaining times that callers of one route state. Older ones lose weight. */
private class TimeoutCounts {
    private val counts = HashMap<Long, Int>()
    private var total = 0

    /** Records [millis] and returns the most frequent time. */
    @Synchronized
    fun record(millis: Long): Long {
        counts.merge(millis, 1, Int::plus)
        if (++total >= HALVING_TOTAL) halve()
        return counts.maxByOrNull { it.value }?.key ?: millis
    }

    private fun halve() {
        counts.replaceAll { _, count -> count / 2 }
        counts.values.removeIf { it == 0 }
        total = counts.values.sum()
    }

    private companion object {
        /** Total at which counts are halved. Enough to tell a common timeout from the scattered values of retries. */
        const val HALVING_TOTAL = 64
    }
}
