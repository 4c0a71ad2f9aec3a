package dev.baobabhollow.proxy

import io.netty.channel.EventLoop
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicLong

/**
 * Tells how far an event loop is behind, from a timer that fires late or not at all while the loop is busy. Used on that
 * event loop only, but for [takeLongest].
 *
 * A node that has just restarted, or was frozen, finds requests whose callers have left since. Their closed connections
 * are read later than the requests, so only the lag shows it.
 */
internal class LoopLag(
    private val nowMillis: () -> Long,
) {
    private var lastTickMillis = nowMillis()
    private var lastLagMillis = 0L
    private val longest = AtomicLong()

    /**
     * Time in milliseconds by which the timer is overdue, or was when it fired last: what the loop reads after a late timer
     * came while it was late.
     */
    val millis: Long get() = maxOf(lastLagMillis, lagAt(nowMillis()))

    fun start(loop: EventLoop) {
        loop.scheduleWithFixedDelay(::tick, 0, PERIOD_MILLIS, TimeUnit.MILLISECONDS)
    }

    /** Notes that the timer has fired. */
    fun tick() {
        val now = nowMillis()
        lastLagMillis = lagAt(now)
        lastTickMillis = now
        longest.accumulateAndGet(lastLagMillis, ::maxOf)
    }

    private fun lagAt(nowMillis: Long) = (nowMillis - lastTickMillis - PERIOD_MILLIS).coerceAtLeast(0)

    /** Returns the longest lag in milliseconds since the last call. Safe to call on any thread. */
    fun takeLongest(): Long = longest.getAndSet(0)

    private companion object {
        const val PERIOD_MILLIS = 50L
    }
}
