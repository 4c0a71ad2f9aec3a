package dev.baobabhollow.membership

/**
 * Turns readings of a wall clock into a time that never goes back. A step back or a step longer than [maxStepMillis]
 * counts as no time, so that neither a set clock nor a paused process lets timeouts expire at once.
 */
internal class SteadyClock(
    private val maxStepMillis: Long,
) {
    private var lastReading: Long? = null

    /** Elapsed time in milliseconds. */
    var nowMillis = 0L
        private set

    /** Takes the reading [wallMillis] and tells whether the clock ran on without a jump. */
    fun advance(wallMillis: Long): Boolean {
        val last = lastReading ?: wallMillis
        lastReading = wallMillis
        if (wallMillis < last) return false
        val step = wallMillis - last
        if (step < 0 || step > maxStepMillis) return false
        nowMillis += step
        return true
    }
}
