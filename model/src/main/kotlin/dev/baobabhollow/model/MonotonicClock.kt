package dev.baobabhollow.model

import java.util.concurrent.TimeUnit

/**
 * Clock in epoch milliseconds that reads the time of day once and then advances steadily, so that a step of the time of
 * day changes no deadline, timeout or age in this process. The clocks of two processes can differ by seconds: what
 * crosses a process is a remaining time, or is ordered by version, offset, incarnation or sequence. Thread-safe.
 */
class MonotonicClock(
    timeOfDay: () -> Long = System::currentTimeMillis,
    private val nanoTime: () -> Long = System::nanoTime,
) : () -> Long {
    private val startMillis = timeOfDay()
    private val startNanos = nanoTime()

    override fun invoke(): Long = startMillis + TimeUnit.NANOSECONDS.toMillis(nanoTime() - startNanos)
}
