package dev.baobabhollow.proxy

import dev.baobabhollow.calls.ResponseTimeEstimate
import dev.baobabhollow.calls.ResponseTimeEstimator
import dev.baobabhollow.model.RouteId
import io.netty.handler.codec.http.HttpHeaders

/** Estimate of the response time of the local target, sent to entry nodes with responses and refusals. Thread-safe. */
internal class TargetEstimate(
    private val node: NodeCore,
) {
    private val estimator = ResponseTimeEstimator()

    val workDurationPercent: Int? get() = estimator.workDurationPercent

    fun onMetadata(metadata: ResponseMetadata) {
        metadata.workDurationPercent?.let { estimator.onStated(it, node.nowMillis()) }
    }

    fun onServed(
        route: RouteId,
        micros: Long,
    ) = estimator.onServed(route, micros, node.nowMillis())

    /** Returns the estimate for a new call, or null if the target states no work duration. */
    fun current(): ResponseTimeEstimate? {
        if (estimator.workDurationPercent == null) return null
        val target = node.self.target ?: return null
        val calls = node.admission.inUse + node.admission.waiting
        return estimator.estimate(calls, minOf(target.slots, target.connections), node.nowMillis())
    }

    fun retain(routes: Set<RouteId>) = estimator.retain(routes)
}

/** Sets the header with [estimate], or removes it if [estimate] is null. */
internal fun HttpHeaders.setEstimate(estimate: ResponseTimeEstimate?) {
    if (estimate == null) {
        remove(MeshHeaders.ESTIMATE)
    } else {
        set(MeshHeaders.ESTIMATE, with(estimate) { "$waitMicros,$serviceMicros,$usualServiceMicros" })
    }
}

/** Removes the header with the estimate, and returns the estimate or null if there is none or it is malformed. */
internal fun HttpHeaders.takeEstimate(): ResponseTimeEstimate? {
    val text = get(MeshHeaders.ESTIMATE) ?: return null
    remove(MeshHeaders.ESTIMATE)
    val micros = text.split(',').map { it.toLongOrNull()?.takeIf(ESTIMATE_MICROS::contains) ?: return null }
    return if (micros.size == ESTIMATE_FIELDS) ResponseTimeEstimate(micros[0], micros[1], micros[2]) else null
}

private const val ESTIMATE_FIELDS = 3

/** Longer times than an hour are malformed. */
private val ESTIMATE_MICROS = 0L..3_600_000_000L
