package dev.baobabhollow.proxy

import org.apache.logging.log4j.LogManager
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicLong

/**
 * Logs single calls, at most [LINES_PER_SECOND], so that a burst of failures does not take processor time from calls.
 * Lines above the limit are dropped and their number is logged. Thread-safe.
 */
internal class CallLog(
    private val nowMillis: () -> Long,
) {
    private val secondEndMillis = AtomicLong()
    private val written = AtomicInteger()
    private val dropped = AtomicInteger()

    fun write(line: () -> String) {
        val now = nowMillis()
        val end = secondEndMillis.get()
        if (now >= end && secondEndMillis.compareAndSet(end, now + SECOND_MILLIS)) {
            written.set(0)
            val lost = dropped.getAndSet(0)
            if (lost > 0) LOG.warn("event=call_lines_dropped count={}", lost)
        }
        if (written.incrementAndGet() > LINES_PER_SECOND) {
            dropped.incrementAndGet()
            return
        }
        LOG.info(line())
    }

    private companion object {
        val LOG = LogManager.getLogger(CallLog::class.java)
        const val SECOND_MILLIS = 1_000L

        /** At about 300 bytes a line this is 6 KB a second and 1 ms of processor time. */
        const val LINES_PER_SECOND = 20
    }
}
