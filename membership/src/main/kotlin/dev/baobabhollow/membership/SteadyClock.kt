package dev.baobabhollow.membership

/**
 * Monotonic clock derived from readings of a wall clock. A step back, or a step longer than [maxStepMillis], does not
 * count as elapsed time, so that neither a set clock nor a paused process makes timeouts expire at once.
 */
internal class SteadyClock(
    private val maxStepMillis: Long,
) {
    private var lastReading: Long? = null

    /** Elapsed time in milliseconds. */
    var nowMillis = 0L
        private set

    /** Advances the clock to the reading [wallMillis], and returns false if the wall clock has jumped. */
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
