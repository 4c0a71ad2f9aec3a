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
 * Speaks the HTTP protocol of the platform log at [endpoint], an IP number. Safe for several threads: concurrent calls
 * use different connections, and a connection whose exchange did not complete is closed.
 */
class HttpPlatformLog(
    private val endpoint: Endpoint,
    private val limits: LogClientLimits = LogClientLimits(),
    private val nowMillis: () -> Long = System::currentTimeMillis,
) : PlatformLog,
    AutoCloseable {
    private val pool = ConnectionPool(endpoint, limits)

    override fun append(
        stream: StreamName,
        records: List<LogRecord>,
        deadlineMillis: Long,
    ): Result<AppendReceipt, LogError> {
        val body = ModelJson.encodeToString(AppendRequest.serializer(), AppendRequest(records))
        return call(HttpMethod.POST, pathOf(stream), body, deadlineMillis)
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
        val deadlineMillis = nowMillis() + waitMillis + limits.answerTimeoutMillis
        return call(HttpMethod.GET, path, "", deadlineMillis)
            .andThen { it.decode(LogBatch.serializer(), nowMillis()) }
            .andThen { checkOrder(it, afterOffset) }
    }

    /** Closes all connections; running calls end with an error. */
    override fun close() = pool.close()

    // A thread that is interrupted before anything was sent gets Unavailable, and OutcomeUnknown after that.
    private fun call(
        method: HttpMethod,
        path: String,
        body: String,
        deadlineMillis: Long,
    ): Result<LogAnswer, LogError> {
        val timeoutMillis = deadlineMillis - nowMillis()
        if (timeoutMillis <= 0) return Err(LogError.Unavailable("the deadline passed before the request was sent"))
        val endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMillis)
        return try {
            var result = attempt(method, path, body, endNanos)
            // A reused connection may have been closed by the log a moment ago.
            if (result.getError() === LogConnection.NOT_SENT) result = attempt(method, path, body, endNanos)
            result
        } catch (_: InterruptedException) {
            Thread.currentThread().interrupt()
            Err(LogError.Unavailable("interrupted before the request was sent"))
        }
    }

    private fun attempt(
        method: HttpMethod,
        path: String,
        body: String,
        endNanos: Long,
    ): Result<LogAnswer, LogError> =
        pool.acquire(millisUntil(endNanos)).andThen { channel ->
            exchange(channel, request(method, path, body), millisUntil(endNanos))
        }

    private fun millisUntil(nanos: Long) = TimeUnit.NANOSECONDS.toMillis(nanos - System.nanoTime()).coerceAtLeast(1)

    private fun exchange(
        channel: Channel,
        request: DefaultFullHttpRequest,
        timeoutMillis: Long,
    ): Result<LogAnswer, LogError> {
        val result = await(channel, request, timeoutMillis)
        if (result.get()?.keepsConnection == true) pool.release(channel) else pool.discard(channel)
        return result
    }

    private fun await(
        channel: Channel,
        request: DefaultFullHttpRequest,
        timeoutMillis: Long,
    ): Result<LogAnswer, LogError> {
        val answer = AnswerFuture()
        return try {
            channel.pipeline().get(LogConnection::class.java).exchange(channel, request, answer)
            answer.get(timeoutMillis, TimeUnit.MILLISECONDS)
        } catch (_: TimeoutException) {
            Err(LogError.OutcomeUnknown("no complete answer within $timeoutMillis ms"))
        } catch (_: InterruptedException) {
            Thread.currentThread().interrupt()
            Err(LogError.OutcomeUnknown("interrupted while waiting for the answer"))
        } catch (failure: RejectedExecutionException) {
            request.release()
            Err(LogError.Unavailable("the client is closed: ${failure.message}"))
        }
    }

    private fun request(
        method: HttpMethod,
        path: String,
        body: String,
    ): DefaultFullHttpRequest {
        val content: ByteBuf = Unpooled.copiedBuffer(body, Charsets.UTF_8)
        val request = DefaultFullHttpRequest(HttpVersion.HTTP_1_1, method, path, content)
        request
            .headers()
            .set(HttpHeaderNames.HOST, endpoint.toString())
            .set(HttpHeaderNames.CONTENT_LENGTH, content.readableBytes())
            .set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.APPLICATION_JSON)
        return request
    }

    private fun pathOf(stream: StreamName) = "/streams/${URLEncoder.encode(stream.value, Charsets.UTF_8)}/records"

    private fun checkOffsets(
        receipt: AppendReceipt,
        count: Int,
    ): Result<AppendReceipt, LogError> {
        if (receipt.offsets.size == count) return Ok(receipt)
        return Err(LogError.Malformed("${receipt.offsets.size} offsets for $count records"))
    }

    private fun checkOrder(
        batch: LogBatch,
        afterOffset: Long,
    ): Result<LogBatch, LogError> {
        val offsets = listOf(afterOffset) + batch.entries.map { it.offset }
        if (offsets.zipWithNext().all { (a, b) -> a < b }) return Ok(batch)
        return Err(LogError.Malformed("offsets do not rise after $afterOffset"))
    }
}
