package dev.baobabhollow.bench.calls

import io.netty.buffer.ByteBufAllocator
import io.netty.buffer.ByteBufAllocatorMetricProvider
import kotlinx.serialization.Serializable
import org.HdrHistogram.Histogram
import java.io.InputStream
import java.net.Socket
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit
import kotlin.concurrent.thread

/** Latency of requests of which [depth] are sent at once on one connection, in milliseconds. */
@Serializable
data class PipelineRow(
    val depth: Int,
    val requests: Long,
    val p50Millis: Double,
    val p99Millis: Double,
)

/**
 * Result of [readers] callers that read responses of [responseBytes] slowly: the peak of direct memory in this process,
 * which holds the buffers of the nodes, and the number of responses that arrived whole.
 */
@Serializable
data class SlowReaderRow(
    val readers: Int,
    val responseBytes: Int,
    val peakDirectBytes: Long,
    val wholeResponses: Int,
)

/** Measures pipelined requests, and the memory that long responses to slow readers take. */
internal class ConnectionsBench(
    private val options: CallsBenchOptions,
) {
    fun measurePipelining(): List<PipelineRow> =
        BenchTarget(options.slots, options.serviceMillis).use { target ->
            BenchMesh(listOf(target), options, hasEntry = true).use { mesh ->
                options.pipelineDepths.map { measureDepth(mesh.entryPort, it) }
            }
        }

    private fun measureDepth(
        port: Int,
        depth: Int,
    ): PipelineRow {
        val latency = Histogram(1, TimeUnit.MINUTES.toNanos(1), 3)
        Caller(port).use { caller ->
            repeat(options.pipelineRounds) {
                val sentNanos = System.nanoTime()
                caller.send(depth)
                repeat(depth) {
                    caller.readResponse(pauseMillis = 0)
                    latency.recordValue(System.nanoTime() - sentNanos)
                }
            }
        }
        val p50 = latency.getValueAtPercentile(P50) / NANOS_PER_MILLI
        return PipelineRow(depth, latency.totalCount, p50, latency.getValueAtPercentile(P99) / NANOS_PER_MILLI)
    }

    fun measureSlowReaders(): SlowReaderRow =
        BenchTarget(options.slowReaders, serviceMillis = 0, options.longResponseBytes).use { target ->
            BenchMesh(listOf(target), options.copy(slots = options.slowReaders), hasEntry = true).use { mesh ->
                val responses = List(options.slowReaders) { CompletableFuture<Int>() }
                responses.forEach { thread(isDaemon = true) { it.complete(readSlowly(mesh.entryPort)) } }
                var peak = 0L
                while (!responses.all { it.isDone }) {
                    peak = maxOf(peak, directBytes())
                    Thread.sleep(SAMPLE_MILLIS)
                }
                val whole = responses.count { it.join() == options.longResponseBytes }
                SlowReaderRow(options.slowReaders, options.longResponseBytes, peak, whole)
            }
        }

    private fun readSlowly(port: Int): Int =
        Caller(port).use { caller ->
            caller.send(1)
            runCatching { caller.readResponse(options.slowReadPauseMillis) }.getOrDefault(0)
        }

    private fun directBytes() = (ByteBufAllocator.DEFAULT as ByteBufAllocatorMetricProvider).metric().usedDirectMemory()

    /** Connection of a caller that sends several requests at once and reads the responses one after the other. */
    private class Caller(
        port: Int,
    ) : AutoCloseable {
        private val socket = Socket("127.0.0.1", port).apply { tcpNoDelay = true }
        private val input: InputStream = socket.getInputStream()

        fun send(count: Int) {
            socket.getOutputStream().write(REQUEST.repeat(count).toByteArray(Charsets.US_ASCII))
        }

        /** Reads one response with a pause after each chunk, and returns the length of its body. */
        fun readResponse(pauseMillis: Long): Int {
            val length = readHead().lines().first { it.startsWith(LENGTH, ignoreCase = true) }.drop(LENGTH.length)
            var remaining = length.trim().toInt()
            while (remaining > 0) {
                val count = input.readNBytes(minOf(remaining, CHUNK_BYTES)).size
                check(count > 0) { "the connection ended within a response" }
                remaining -= count
                if (pauseMillis > 0) Thread.sleep(pauseMillis)
            }
            return length.trim().toInt()
        }

        private fun readHead(): String {
            val head = StringBuilder()
            while (!head.endsWith("\r\n\r\n")) {
                val byte = input.read()
                check(byte >= 0) { "the connection ended within a head" }
                head.append(byte.toChar())
            }
            return head.toString()
        }

        override fun close() = socket.close()
    }

    private companion object {
        const val P50 = 50.0
        const val P99 = 99.0
        const val NANOS_PER_MILLI = 1e6
        const val SAMPLE_MILLIS = 5L
        const val CHUNK_BYTES = 16_384
        const val LENGTH = "content-length:"
        const val REQUEST = "GET /reads HTTP/1.1\r\nhost: bench\r\n\r\n"
    }
}
