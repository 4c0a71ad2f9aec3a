package dev.baobabhollow.platformlog

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.andThen
import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import dev.baobabhollow.model.AppendReceipt
import dev.baobabhollow.model.Endpoint
import dev.baobabhollow.model.LogBatch
import dev.baobabhollow.model.LogError
import dev.baobabhollow.model.LogRecord
import dev.baobabhollow.model.ModelJson
import dev.baobabhollow.model.MonotonicClock
import dev.baobabhollow.model.PlatformLog
import dev.baobabhollow.model.StreamName
import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.handler.codec.http.DefaultFullHttpRequest
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaderValues
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpVersion
import java.net.URLEncoder
import java.util.concurrent.RejectedExecutionException
import java.util.concurrent.TimeUnit
import java.util.concurrent.TimeoutException

/**
 * Client for the HTTP protocol of the platform log at [endpoint], whose host must be an IP address. Thread-safe:
 * concurrent calls use different connections, and a connection whose exchange did not complete is closed.
 */
class HttpPlatformLog(
    endpoint: Endpoint,
    private val limits: LogClientLimits = LogClientLimits(),
    private val nowMillis: () -> Long = MonotonicClock(),
) : PlatformLog,
    AutoCloseable {
    private val client = LogHttpClient(endpoint, limits, nowMillis)

    override fun append(
        stream: StreamName,
        records: List<LogRecord>,
        deadlineMillis: Long,
    ): Result<AppendReceipt, LogError> {
        val body = ModelJson.encodeToString(AppendRequest.serializer(), AppendRequest(records))
        return client
            .call(HttpMethod.POST, pathOf(stream), body.encodeToByteArray(), JSON, deadlineMillis)
            .andThen { it.decode(AppendReceipt.serializer(), nowMillis()) }
            .andThen { checkOffsets(it, records.size) }
    }

    override fun read(
        stream: StreamName,
        afterOffset: Long,
        maxRecords: Int,
        waitUntilMillis: Long,
    ): Result<LogBatch, LogError> {
        val waitMillis = (waitUntilMillis - nowMillis()).coerceAtLeast(0)
        val path = "${pathOf(stream)}?after=$afterOffset&max=$maxRecords&waitMillis=$waitMillis"
        val deadlineMillis = nowMillis() + waitMillis + limits.responseTimeoutMillis
        return client
            .call(HttpMethod.GET, path, NO_BODY, JSON, deadlineMillis)
            .andThen { it.decode(LogBatch.serializer(), nowMillis()) }
            .andThen { checkOrder(it, afterOffset) }
    }

    /** Closes all connections. Calls in progress fail. */
    override fun close() = client.close()

    private fun pathOf(stream: StreamName) = "/streams/${URLEncoder.encode(stream.value, Charsets.UTF_8)}/records"

    private fun checkOffsets(
        receipt: AppendReceipt,
        count: Int,
    ): Result<AppendReceipt, LogError> {
        if (receipt.offsets.size == count) return Ok(receipt)
        return Err(LogError.Malformed("${receipt.offsets.size} offsets in the response for $count records"))
    }

    private fun checkOrder(
        batch: LogBatch,
        afterOffset: Long,
    ): Result<LogBatch, LogError> {
        val offsets = listOf(afterOffset) + batch.entries.map { it.offset }
        if (offsets.zipWithNext().all { (a, b) -> a < b }) return Ok(batch)
        return Err(LogError.Malformed("offsets are not strictly ascending after $afterOffset"))
    }

    private companion object {
        const val JSON = "application/json"
        val NO_BODY = ByteArray(0)
    }
}
