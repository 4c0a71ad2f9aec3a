package dev.baobabhollow.standins

import io.netty.util.concurrent.ScheduledFuture
import java.util.concurrent.TimeUnit

/** Long-poll reads that wait for the next append to their stream. Confined to one thread. */
internal class WaitingReads {
    /** A waiting read of one exchange, which is responded to once. */
    inner class WaitingRead(
        private val stream: String,
        private val exchange: LogExchange,
        private val respond: (LogExchange) -> Unit,
    ) {
        var timer: ScheduledFuture<*>? = null

        /** Responds now if the connection is still open. */
        fun wake() {
            remove()
            if (exchange.channel.isActive) respond(exchange)
        }

        private fun remove() {
            timer?.cancel(false)
            val waiting = byStream[stream] ?: return
            if (waiting.remove(this)) size--
            if (waiting.isEmpty()) byStream.remove(stream)
        }
    }

    private val byStream = HashMap<String, LinkedHashSet<WaitingRead>>()

    /** Number of waiting reads. */
    var size = 0
        private set

    /** Adds [exchange] for at most [waitMillis]. Returns false if too many reads wait. */
    fun add(
        stream: String,
        exchange: LogExchange,
        waitMillis: Long,
        respond: (LogExchange) -> Unit,
    ): Boolean {
        if (size >= MAX_WAITING) return false
        val read = WaitingRead(stream, exchange, respond)
        byStream.getOrPut(stream, ::LinkedHashSet).add(read)
        size++
        read.timer = exchange.channel.eventLoop().schedule(read::wake, waitMillis, TimeUnit.MILLISECONDS)
        return true
    }

    /** Returns the reads that wait for [stream]. */
    fun waitingFor(stream: String): List<WaitingRead> = byStream[stream]?.toList().orEmpty()

    private companion object {
        const val MAX_WAITING = 10_000
    }
}
