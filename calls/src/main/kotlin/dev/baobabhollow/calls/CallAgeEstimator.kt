package dev.baobabhollow.calls

import dev.baobabhollow.model.RouteId
import java.util.concurrent.ConcurrentHashMap

/**
 * Estimates how long ago callers made their calls for the first time. Callers of a route grant most calls the same time, and
 * one that comes back after a refusal states what is left of it. Safe for use by several threads.
 */
class CallAgeEstimator {
    private val routes = ConcurrentHashMap<RouteId, StatedTimes>()

    /** Takes in a call on [route] whose caller waits [leftMillis] longer, and returns its probable age in milliseconds. */
    fun ageMillis(
        route: RouteId,
        leftMillis: Long,
    ): Long {
        val granted = routes.computeIfAbsent(route) { StatedTimes() }.note(leftMillis)
        return (granted - leftMillis).coerceAtLeast(0)
    }

    /** Forgets all routes but [kept]. */
    fun retain(kept: Set<RouteId>) {
        routes.keys.retainAll(kept)
    }
}

/** Counts the times that callers of one route state, with the latest ones weighing most. */
private class StatedTimes {
    private val counts = HashMap<Long, Int>()
    private var total = 0

    /** Takes in [millis] and returns the time that is stated most often. */
    @Synchronized
    fun note(millis: Long): Long {
        counts.merge(millis, 1, Int::plus)
        if (++total >= REMEMBERED) halve()
        return counts.maxByOrNull { it.value }?.key ?: millis
    }

    private fun halve() {
        counts.replaceAll { _, count -> count / 2 }
        counts.values.removeIf { it == 0 }
        total = counts.values.sum()
    }

    private companion object {
        /** Is enough to tell a value that repeats from the many different ones of callers that come back. */
        const val REMEMBERED = 64
    }
}
