package dev.baobabhollow.proxy

import io.netty.channel.EventLoop
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicLong

/**
 * Measures the lag of an event loop by a timer that fires late, or not at all, while the loop is busy. Confined to that
 * event loop except for [takeLongest].
 *
 * A node that has just restarted or was frozen finds requests whose callers have disconnected since. The loop reads the
 * close of a connection after its requests, so at the time of the request only the lag shows that risk.
 */
internal class LoopLag(
    private val nowMillis: () -> Long,
) {
    private var lastTickMillis = nowMillis()
    private var lastLagMillis = 0L
    private val longest = AtomicLong()

    /**
     * Time in milliseconds by which the timer is overdue or was overdue when it last fired, whichever is longer: data
     * that the loop reads after a late timer arrived during the lag.
     */
    val millis: Long get() = maxOf(lastLagMillis, lagAt(nowMillis()))

    fun start(loop: EventLoop) {
        loop.scheduleWithFixedDelay(::tick, 0, PERIOD_MILLIS, TimeUnit.MILLISECONDS)
    }

    /** Records that the timer has fired. */
    fun tick() {
        val now = nowMillis()
        lastLagMillis = lagAt(now)
        lastTickMillis = now
        longest.accumulateAndGet(lastLagMillis, ::maxOf)
    }

    private fun lagAt(nowMillis: Long) = (nowMillis - lastTickMillis - PERIOD_MILLIS).coerceAtLeast(0)

    /** Returns the longest lag in milliseconds since the last call. Thread-safe. */
    fun takeLongest(): Long = longest.getAndSet(0)

    private companion object {
        const val PERIOD_MILLIS = 50L
    }
}
