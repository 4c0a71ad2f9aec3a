package dev.baobabhollow.calls

import dev.baobabhollow.model.WarmUpConfig
import kotlin.math.ceil

/**
 * Token bucket ahead of the slots of a target that may be cold. It bounds the requests of any second at which the target
 * may have been cold: a target is known to be warm only at the moment at which it has handled a health probe, so a
 * request stops counting only when a later probe finds the target warm. Reports of the target decide whether probes are
 * worthwhile and what other nodes are told; they do not lift the bound, since the target may become cold at any moment
 * after them and the network may delay them.
 *
 * Starts empty at [startMillis], because a previous process of the node may just have sent requests. Times are epoch
 * milliseconds. Thread-safe.
 */
class ColdTargetLimiter(
    private val settings: ColdTargetSettings,
    startMillis: Long,
) {
    private var warmUp: WarmUpConfig? = null
    private var tokens = 0.0
    private var updatedMillis = startMillis

    /** Times of the last requests, to count those that were sent after a probe. */
    private val sent = ArrayDeque<Long>()

    /** Time until which the target is believed to be cold; null if that is unknown. */
    private var coldUntilMillis: Long? = null
    private var bornMillis: Long? = null
    private var probeSentMillis: Long? = null
    private var nextProbeMillis = Long.MIN_VALUE

    /** Time of the last capacity that was stated to a refused call. */
    private var promisedMillis = Long.MIN_VALUE

    /**
     * Requests that may be sent at once. Three quarters of the slack: the rest covers requests that arrive at the target
     * up to a hundred milliseconds closer together than they were sent.
     */
    private val burst = maxOf(1.0, settings.slack * BURST_SHARE)

    /** Requests a second while the target is cold, or null if it has no warm-up. */
    private val ratePerSecond: Double?
        get() =
            warmUp
                ?.let { (it.requestsPerSecond * settings.overShare + minOf(0.0, settings.slack - burst)) }
                ?.coerceAtLeast(MIN_RATE)

    /** Applies the warm-up of the target's service, or null if it has none. */
    @Synchronized
    fun configure(
        next: WarmUpConfig?,
        nowMillis: Long,
    ) {
        if (next == warmUp) return
        refill(nowMillis)
        if (warmUp == null) {
            tokens = 0.0
            sent.clear()
        }
        warmUp = next
    }

    /**
     * Takes a report of the target that it stays cold for [leftMillis], or null if it does not say. A start that is not
     * known yet ([born], epoch milliseconds) is cold for the whole warm-up unless the target reports otherwise.
     */
    @Synchronized
    fun onReport(
        born: Long?,
        leftMillis: Long?,
        nowMillis: Long,
    ) {
        val isNewStart = born != null && born != bornMillis
        if (born != null) bornMillis = born
        val left = leftMillis ?: warmUp?.durationMillis?.takeIf { isNewStart } ?: return
        coldUntilMillis = nowMillis + left
    }

    /** True if a request may be sent now. */
    @Synchronized
    fun allows(nowMillis: Long): Boolean {
        if (warmUp == null) return true
        refill(nowMillis)
        return tokens >= 1
    }

    /** Counts a request that is sent now. */
    @Synchronized
    fun take(nowMillis: Long) {
        if (warmUp == null) return
        refill(nowMillis)
        tokens -= 1
        sent.addLast(nowMillis)
        if (sent.size > MAX_SENT) sent.removeFirst()
    }

    /** Returns the milliseconds until a request may be sent that [ahead] others precede. */
    @Synchronized
    fun waitMillis(
        ahead: Int,
        nowMillis: Long,
    ): Long {
        val rate = ratePerSecond ?: return 0
        refill(nowMillis)
        return ceil(((ahead + 1 - tokens) / rate * MILLIS_PER_SECOND).coerceAtLeast(0.0)).toLong()
    }

    /**
     * True if a call that [ahead] others precede would wait too long for a cold target. While the target is believed to be
     * warm, the next probe admits the calls that wait.
     */
    @Synchronized
    fun refuses(
        ahead: Int,
        nowMillis: Long,
    ): Boolean = isCold(nowMillis) && waitMillis(ahead, nowMillis) > MAX_WAIT_MILLIS

    /**
     * Returns the milliseconds after which a refused call finds capacity if it comes back. Each refused call gets a time of
     * its own, so that those that come back do not exceed the rate again, but none after the end of the warm-up.
     */
    @Synchronized
    fun retryAfterMillis(
        ahead: Int,
        nowMillis: Long,
    ): Long {
        val rate = ratePerSecond ?: return 0
        val first = nowMillis + waitMillis(ahead, nowMillis)
        val next = maxOf(first, promisedMillis + ceil(MILLIS_PER_SECOND / rate).toLong())
        val warmMillis = coldUntilMillis ?: (nowMillis + checkNotNull(warmUp).durationMillis)
        promisedMillis = minOf(next, maxOf(first, warmMillis))
        return promisedMillis - nowMillis
    }

    /** True if the service has a warm-up and the target is believed to be cold, or its state is unknown. */
    @Synchronized
    fun isCold(nowMillis: Long): Boolean = warmUp != null && coldUntilMillis.let { it == null || nowMillis < it }

    /** Requests a second that the target gets at most while it is cold, or null while it is believed to be warm. */
    @Synchronized
    fun coldPerSecond(nowMillis: Long): Double? = ratePerSecond?.takeIf { isCold(nowMillis) }

    /**
     * Starts a probe of the target and returns true if one is worthwhile: the target gets more requests than a cold one
     * may get, and is not reported to be cold.
     */
    @Synchronized
    fun startProbe(nowMillis: Long): Boolean {
        if (warmUp == null || probeSentMillis != null || nowMillis < nextProbeMillis) return false
        if (coldUntilMillis.let { it != null && nowMillis < it }) return false
        refill(nowMillis)
        if (tokens >= burst * PROBE_SHARE) return false
        probeSentMillis = nowMillis
        return true
    }

    /** Ends a probe that could not be sent. */
    @Synchronized
    fun cancelProbe() {
        probeSentMillis = null
    }

    /**
     * Ends the probe with its response: the target stays cold for [leftMillis], or the response does not say or there is
     * none if that is null. A target whose state is unknown counts as cold.
     */
    @Synchronized
    fun onProbeResponse(
        leftMillis: Long?,
        nowMillis: Long,
    ) {
        val sentMillis = probeSentMillis ?: return
        probeSentMillis = null
        coldUntilMillis = leftMillis?.let { nowMillis + it }
        if (leftMillis == null) nextProbeMillis = nowMillis + FAILED_PROBE_MILLIS
        if (leftMillis == 0L) forgetBefore(sentMillis, nowMillis)
    }

    /** Restores the tokens of the requests that were sent before [sentMillis], when the target was not cold yet. */
    private fun forgetBefore(
        sentMillis: Long,
        nowMillis: Long,
    ) {
        val rate = ratePerSecond ?: return
        refill(nowMillis)
        val isComplete = sent.size < MAX_SENT || sent.first() < sentMillis
        while (sent.isNotEmpty() && sent.first() < sentMillis) sent.removeFirst()
        if (!isComplete) return
        var level = burst
        var at = sentMillis
        for (time in sent) {
            level = minOf(burst, level + (time - at) * rate / MILLIS_PER_SECOND) - 1
            at = time
        }
        tokens = maxOf(tokens, minOf(burst, level + (nowMillis - at) * rate / MILLIS_PER_SECOND))
    }

    private fun refill(nowMillis: Long) {
        val elapsed = nowMillis - updatedMillis
        if (elapsed <= 0) return
        updatedMillis = nowMillis
        ratePerSecond?.let { tokens = minOf(burst, tokens + elapsed * it / MILLIS_PER_SECOND) }
    }

    private companion object {
        const val MILLIS_PER_SECOND = 1_000.0
        const val BURST_SHARE = 0.75

        /** A probe starts at half of the burst: its response takes about as long as the other half lasts. */
        const val PROBE_SHARE = 0.5

        /** Longest wait for a cold target. A refused call finds another target within a few milliseconds. */
        const val MAX_WAIT_MILLIS = 100L

        /** Pause after a probe without a response. */
        const val FAILED_PROBE_MILLIS = 250L

        /** Requests a second below which a target would never be called. */
        const val MIN_RATE = 0.1

        /** More requests than a probe allows until the next one is needed. */
        const val MAX_SENT = 256
    }
}
