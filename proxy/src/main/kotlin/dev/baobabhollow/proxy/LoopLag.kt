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
    private val longest = AtomicLong()

    /** Time in milliseconds by which the timer is overdue. */
    val millis: Long get() = (nowMillis() - lastTickMillis - PERIOD_MILLIS).coerceAtLeast(0)

    fun start(loop: EventLoop) {
        loop.scheduleWithFixedDelay(::tick, 0, PERIOD_MILLIS, TimeUnit.MILLISECONDS)
    }

    private fun tick() {
        longest.accumulateAndGet(millis, ::maxOf)
        lastTickMillis = nowMillis()
    }

    /** Returns the longest lag in milliseconds since the last call. Safe to call on any thread. */
    fun takeLongest(): Long = longest.getAndSet(0)

    private companion object {
        const val PERIOD_MILLIS = 50L
    }
}
