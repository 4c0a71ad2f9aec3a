package dev.baobabhollow.proxy

import io.netty.channel.EventLoop
import java.util.concurrent.TimeUnit

/**
 * Tells how far an event loop is behind, from a timer that fires late or not at all while the loop is busy. Used on that
 * event loop only.
 *
 * A node that has just restarted, or was frozen, finds requests whose callers have left since. Their closed connections
 * are read later than the requests, so only the lag shows it.
 */
internal class LoopLag(
    private val nowMillis: () -> Long,
) {
    private var lastTickMillis = nowMillis()

    /** Time in milliseconds by which the timer is overdue. */
    val millis: Long get() = (nowMillis() - lastTickMillis - PERIOD_MILLIS).coerceAtLeast(0)

    fun start(loop: EventLoop) {
        loop.scheduleWithFixedDelay({ lastTickMillis = nowMillis() }, 0, PERIOD_MILLIS, TimeUnit.MILLISECONDS)
    }

    private companion object {
        const val PERIOD_MILLIS = 50L
    }
}
