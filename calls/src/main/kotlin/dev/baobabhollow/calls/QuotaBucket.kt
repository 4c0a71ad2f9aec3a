package dev.baobabhollow.calls

/**
 * Token bucket of one tenant in one failure domain. It is empty at [startMillis] and gains nothing before that. Not
 * thread-safe; times are monotonic milliseconds.
 */
internal class QuotaBucket(
    private val startMillis: Long,
    private var ratePerSecond: Double,
    private var capacity: Double,
) {
    private var level = 0.0
    private var filledMillis = startMillis
    private var nextPromisedMillis = startMillis

    /** False while a predecessor's tokens may be in use: whether the tenant is over its quota is then not known. */
    fun isStarted(nowMillis: Long): Boolean = nowMillis >= startMillis

    /** Changes rate and capacity from now on. A lower capacity takes effect at once. */
    fun resize(
        ratePerSecond: Double,
        capacity: Double,
        nowMillis: Long,
    ) {
        fill(nowMillis)
        this.ratePerSecond = ratePerSecond
        this.capacity = capacity
        level = level.coerceAtMost(capacity)
    }

    /** Takes up to [wanted] whole tokens and returns their number. */
    fun take(
        wanted: Int,
        nowMillis: Long,
    ): Int {
        fill(nowMillis)
        val taken = minOf(wanted, level.toInt())
        level -= taken
        return taken
    }

    /**
     * Returns the time in milliseconds after which a node that misses [missing] tokens should ask again. Nodes that ask
     * at the same time get successive times, so that they do not all ask again for the same token.
     */
    fun promiseMillis(
        missing: Int,
        nowMillis: Long,
    ): Long {
        fill(nowMillis)
        val emptyMillis = ((1.0 - level).coerceAtLeast(0.0) / ratePerSecond * MILLIS_PER_SECOND).toLong() + 1
        val firstMillis = maxOf(nowMillis, filledMillis) + emptyMillis
        val promised = nextPromisedMillis.coerceIn(firstMillis, maxOf(firstMillis, nowMillis + MAX_QUEUED_MILLIS))
        val neededMillis = (missing / ratePerSecond * MILLIS_PER_SECOND).toLong()
        nextPromisedMillis = promised + neededMillis.coerceAtMost(MAX_NEEDED_MILLIS)
        return promised - nowMillis
    }

    private fun fill(nowMillis: Long) {
        if (nowMillis <= filledMillis) return
        level = (level + (nowMillis - filledMillis) * ratePerSecond / MILLIS_PER_SECOND).coerceAtMost(capacity)
        filledMillis = nowMillis
    }

    private companion object {
        const val MILLIS_PER_SECOND = 1_000

        /** Bounds the time for which a node refuses calls because others asked before it and may not come back. */
        const val MAX_QUEUED_MILLIS = 1_000L

        /** Bounds the part of this time that one node may reserve. */
        const val MAX_NEEDED_MILLIS = 250L
    }
}
