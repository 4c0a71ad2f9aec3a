package dev.baobabhollow.node

import dev.baobabhollow.model.TargetStatus

/** Observations of the target in one interval: its health response and the numbers of calls [answered] and [failed]. */
internal data class HealthSample(
    val response: HealthResponse,
    val answered: Long = 0,
    val failed: Long = 0,
)

/** Response of a target's health endpoint. */
internal enum class HealthResponse {
    HEALTHY,
    DRAINING,
    FAILED,
}

/**
 * Decides the status of the local target with hysteresis: [samplesToFall] bad samples in a row mark it down and
 * [samplesToRise] good ones restore it. Health endpoints lag and mislead, so a failed response does not count while the
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

    /** Records [sample] and returns the new status. A target that reports draining is drained at once. */
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
