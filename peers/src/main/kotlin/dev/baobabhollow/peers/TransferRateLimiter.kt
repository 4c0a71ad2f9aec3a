package dev.baobabhollow.peers

/** Admits at most [perSecond] state transfers in each second. A step of the clock only starts a new second. */
internal class TransferRateLimiter(
    private val perSecond: Int,
) {
    private var secondStartMillis = Long.MIN_VALUE
    private var admitted = 0

    /** Returns null if a transfer may start now, otherwise the time to wait in milliseconds. */
    fun admit(nowMillis: Long): Long? {
        if (secondStartMillis == Long.MIN_VALUE || nowMillis - secondStartMillis !in 0 until SECOND_MILLIS) {
            secondStartMillis = nowMillis
            admitted = 0
        }
        if (admitted >= perSecond) return secondStartMillis + SECOND_MILLIS - nowMillis
        admitted++
        return null
    }

    private companion object {
        const val SECOND_MILLIS = 1_000L
    }
}
