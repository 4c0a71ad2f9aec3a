package dev.baobabhollow.node

import dev.baobabhollow.model.TargetStatus

/** Holds what was seen of the target in one interval: the health answer, and calls that it [answered] or [failed]. */
internal data class HealthSample(
    val answer: HealthAnswer,
    val answered: Long = 0,
    val failed: Long = 0,
)

/** Names the answer of a target's health endpoint. */
internal enum class HealthAnswer {
    HEALTHY,
    DRAINING,
    FAILED,
}

/**
 * Decides the status of the local target with hysteresis: [samplesToFall] bad samples in a row take it out and
 * [samplesToRise] good ones bring it back. Health endpoints lag and mislead, so a failed answer does not count while the
 * target still answers real calls.
 */
internal class TargetHealth(
    private val samplesToFall: Int = 3,
    private val samplesToRise: Int = 2,
) {
    private var run = 0

    /** Latest decision. */
    var status = TargetStatus.SERVING
        private set

    /** Takes in [sample] and returns the status. A target that says that it drains is believed at once. */
    fun observe(sample: HealthSample): TargetStatus {
        if (sample.answer == HealthAnswer.DRAINING) {
            run = 0
            status = TargetStatus.DRAINING
            return status
        }
        val proposed = if (isGood(sample)) TargetStatus.SERVING else TargetStatus.DOWN
        run = if (proposed == status) 0 else run + 1
        val needed = if (proposed == TargetStatus.SERVING) samplesToRise else samplesToFall
        if (run >= needed) {
            status = proposed
            run = 0
        }
        return status
    }

    private fun isGood(sample: HealthSample) = sample.answer == HealthAnswer.HEALTHY || sample.answered > sample.failed
}
