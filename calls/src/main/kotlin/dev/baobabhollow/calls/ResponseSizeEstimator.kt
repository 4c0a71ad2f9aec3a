package dev.baobabhollow.calls

import dev.baobabhollow.model.RouteId
import java.util.concurrent.ConcurrentHashMap

/** Estimates the length of the responses of each route by a moving average. Thread-safe. */
class ResponseSizeEstimator {
    private val means = ConcurrentHashMap<RouteId, Double>()

    /** Records a complete response on [route] with a body of [bytes]. */
    fun record(
        route: RouteId,
        bytes: Long,
    ) {
        means.merge(route, bytes.toDouble()) { mean, latest -> mean + (latest - mean) * WEIGHT }
    }

    /** Returns the expected length in bytes of a response on [route], or zero if none has been recorded. */
    fun expectedBytes(route: RouteId): Long = means[route]?.toLong() ?: 0

    /** Removes all routes except [kept]. */
    fun retain(kept: Set<RouteId>) {
        means.keys.retainAll(kept)
    }

    private companion object {
        /** Weight of the latest response: a change shows after about ten of them. */
        const val WEIGHT = 0.1
    }
}
