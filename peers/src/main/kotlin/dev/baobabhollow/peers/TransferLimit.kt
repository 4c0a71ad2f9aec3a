package dev.baobabhollow.peers

/** Admits at most [perSecond] state transfers in each second. The clock may step: a step only opens a new second. */
internal class TransferLimit(
    private val perSecond: Int,
) {
    private var secondStartMillis = Long.MIN_VALUE
    private var admitted = 0

    /** Returns null when a transfer may start now, else the time to wait in milliseconds. */
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
