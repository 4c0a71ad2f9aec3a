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
import io.netty.channel.IoEventLoopGroup
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
 * HTTP client of the platform at [endpoint], whose host must be an IP address. Thread-safe: concurrent calls use
 * different connections, and a connection whose exchange did not complete is closed. Clients can share one [sharedGroup],
 * which its owner shuts down; calls must not be made on its threads.
 */
class LogHttpClient(
    private val endpoint: Endpoint,
    limits: LogClientLimits = LogClientLimits(),
    private val nowMillis: () -> Long = MonotonicClock(),
    sharedGroup: IoEventLoopGroup? = null,
) : AutoCloseable {
    private val pool = ConnectionPool(endpoint, limits, sharedGroup)

    /** Closes all connections. Calls in progress fail. */
    override fun close() = pool.close()

    /**
     * Sends a request and returns the complete response, whatever its status. The outcome of a call that was
     * interrupted or timed out after the request was sent is unknown. Blocks until [deadlineMillis] (epoch
     * milliseconds) at most.
     */
    fun call(
        method: HttpMethod,
        path: String,
        body: ByteArray,
        contentType: String,
        deadlineMillis: Long,
    ): Result<LogResponse, LogError> {
        val timeoutMillis = deadlineMillis - nowMillis()
        if (timeoutMillis <= 0) return Err(LogError.Unavailable("the deadline passed before the request was sent"))
        val endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMillis)
        return try {
            var result = attempt({ request(method, path, body, contentType) }, endNanos)
            // The log may have just closed a reused connection.
            if (result.getError() ===
                LogConnection.NOT_SENT
            ) {
                result = attempt({ request(method, path, body, contentType) }, endNanos)
            }
            result
        } catch (_: InterruptedException) {
            Thread.currentThread().interrupt()
            Err(LogError.Unavailable("interrupted before the request was sent"))
        }
    }

    private fun attempt(
        newRequest: () -> DefaultFullHttpRequest,
        endNanos: Long,
    ): Result<LogResponse, LogError> =
        pool.acquire(millisUntil(endNanos)).andThen { channel ->
            exchange(channel, newRequest(), millisUntil(endNanos))
        }

    private fun millisUntil(nanos: Long) = TimeUnit.NANOSECONDS.toMillis(nanos - System.nanoTime()).coerceAtLeast(1)

    private fun exchange(
        channel: Channel,
        request: DefaultFullHttpRequest,
        timeoutMillis: Long,
    ): Result<LogResponse, LogError> {
        val result = await(channel, request, timeoutMillis)
        if (result.get()?.isKeepAlive == true) pool.release(channel) else pool.discard(channel)
        return result
    }

    private fun await(
        channel: Channel,
        request: DefaultFullHttpRequest,
        timeoutMillis: Long,
    ): Result<LogResponse, LogError> {
        val response = ResponseFuture()
        return try {
            channel.pipeline().get(LogConnection::class.java).exchange(channel, request, response)
            response.get(timeoutMillis, TimeUnit.MILLISECONDS)
        } catch (_: TimeoutException) {
            Err(LogError.OutcomeUnknown("no complete response within $timeoutMillis ms"))
        } catch (_: InterruptedException) {
            Thread.currentThread().interrupt()
            Err(LogError.OutcomeUnknown("interrupted while waiting for the response"))
        } catch (failure: RejectedExecutionException) {
            request.release()
            Err(LogError.Unavailable("the client is closed: ${failure.message}"))
        }
    }

    private fun request(
        method: HttpMethod,
        path: String,
        body: ByteArray,
        contentType: String,
    ): DefaultFullHttpRequest {
        val content: ByteBuf = Unpooled.wrappedBuffer(body)
        val request = DefaultFullHttpRequest(HttpVersion.HTTP_1_1, method, path, content)
        request
            .headers()
            .set(HttpHeaderNames.HOST, endpoint.toString())
            .set(HttpHeaderNames.CONTENT_LENGTH, content.readableBytes())
            .set(HttpHeaderNames.CONTENT_TYPE, contentType)
        return request
    }
}
