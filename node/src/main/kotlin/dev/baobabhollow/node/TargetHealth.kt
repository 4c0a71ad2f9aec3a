package dev.baobabhollow.node

import dev.baobabhollow.model.TargetStatus

/** Holds what was seen of the target in one interval: the health response, and calls that it [answered] or [failed]. */
internal data class HealthSample(
    val response: HealthResponse,
    val answered: Long = 0,
    val failed: Long = 0,
)

/** Names the response of a target's health endpoint. */
internal enum class HealthResponse {
    HEALTHY,
    DRAINING,
    FAILED,
}

/**
 * Decides the status of the local target with hysteresis: [samplesToFall] bad samples in a row take it out and
 * [samplesToRise] good ones bring it back. Health endpoints lag and mislead, so a failed response does not count while the
 * target still answers real calls.
 */
internal class TargetHealth(
    private val samplesToFall: Int = 3,
    private val samplesToRise: Int = 2,
) {
    private var streak = 0

    /** Latest decision. */
    var status = TargetStatus.SERVING
        private set

    /** Takes in [sample] and returns the status. A target that says that it drains is believed at once. */
    fun observe(sample: HealthSample): TargetStatus {
        if (sample.response == HealthResponse.DRAINING) {
            streak = 0
            status = TargetStatus.DRAINING
            return status
        }
        val proposed = if (isGood(sample)) TargetStatus.SERVING else TargetStatus.DOWN
        streak = if (proposed == status) 0 else streak + 1
        val needed = if (proposed == TargetStatus.SERVING) samplesToRise else samplesToFall
        if (streak >= needed) {
            status = proposed
            streak = 0
        }
        return status
    }

    private fun isGood(sample: HealthSample) =
        sample.response == HealthResponse.HEALTHY || sample.answered > sample.failed
}
