package dev.baobabhollow.platformlog

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import dev.baobabhollow.model.LogError
import io.netty.buffer.ByteBufUtil
import io.netty.channel.Channel
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.SimpleChannelInboundHandler
import io.netty.handler.codec.http.FullHttpRequest
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.LastHttpContent
import java.io.ByteArrayOutputStream
import java.util.concurrent.CompletableFuture

/** A complete response of the log. [retryAfterMillis] is null if the response does not contain the header. */
class LogResponse internal constructor(
    val status: Int,
    val retryAfterMillis: Long?,
    val bytes: ByteArray,
    internal val isKeepAlive: Boolean,
    private val headers: HttpHeaders,
) {
    /** Returns the value of the header [name], or null if it is absent. */
    fun header(name: String): String? = headers.get(name)

    /** The body as text. */
    val body: String get() = bytes.decodeToString()
}

/** Completed with the result of an exchange. */
internal typealias ResponseFuture = CompletableFuture<Result<LogResponse, LogError>>

/** Runs exchanges on one connection, one at a time. The fields are confined to the event loop. */
internal class LogConnection(
    private val limits: LogClientLimits,
) : SimpleChannelInboundHandler<HttpObject>() {
    private var pending: ResponseFuture? = null
    private var head: HttpResponse? = null
    private var body = ByteArrayOutputStream()

    /** Sends [request] on [channel] and completes [response] with the result. Any failure closes the channel. */
    fun exchange(
        channel: Channel,
        request: FullHttpRequest,
        response: ResponseFuture,
    ) = channel.eventLoop().execute {
        if (pending != null || !channel.isActive) {
            request.release()
            response.complete(Err(NOT_SENT))
        } else {
            pending = response
            channel.writeAndFlush(request).addListener {
                if (!it.isSuccess) fail(channel, LogError.OutcomeUnknown("sending failed: ${it.cause().message}"))
            }
        }
    }

    override fun channelRead0(
        context: ChannelHandlerContext,
        message: HttpObject,
    ) {
        if (pending == null) {
            context.close()
            return
        }
        val failure = message.decoderResult().cause()
        if (failure != null) return fail(context.channel(), LogError.Malformed("malformed HTTP: ${failure.message}"))
        if (message is HttpResponse && !startResponse(message)) {
            return fail(context.channel(), LogError.Malformed("the response does not state its length"))
        }
        if (message is HttpContent && !appendToBody(message)) {
            return fail(context.channel(), LogError.Malformed("the response exceeds ${limits.maxResponseBytes} bytes"))
        }
        if (message is LastHttpContent) completeResponse()
    }

    override fun channelInactive(context: ChannelHandlerContext) =
        fail(context.channel(), LogError.OutcomeUnknown("connection closed before the response was complete"))

    @Deprecated("Netty deprecates the method in another interface only")
    override fun exceptionCaught(
        context: ChannelHandlerContext,
        cause: Throwable,
    ) = fail(context.channel(), LogError.OutcomeUnknown("connection failed: ${cause.message}"))

    // Without a stated length, the body ends when the connection closes, and a truncated body could not be detected.
    private fun startResponse(response: HttpResponse): Boolean {
        head = response
        body.reset()
        val hasLength = HttpUtil.isContentLengthSet(response) || HttpUtil.isTransferEncodingChunked(response)
        return hasLength || limits.allowsCloseDelimitedResponses
    }

    private fun appendToBody(content: HttpContent): Boolean {
        if (body.size() + content.content().readableBytes() > limits.maxResponseBytes) return false
        body.write(ByteBufUtil.getBytes(content.content()))
        return true
    }

    private fun completeResponse() {
        val responseHead = head ?: return
        val response =
            LogResponse(
                responseHead.status().code(),
                responseHead.headers().get(RETRY_AFTER_HEADER)?.toLongOrNull(),
                body.toByteArray(),
                HttpUtil.isKeepAlive(responseHead),
                responseHead.headers(),
            )
        complete(Ok(response))
    }

    private fun fail(
        channel: Channel,
        error: LogError,
    ) {
        complete(Err(error))
        channel.close()
    }

    private fun complete(result: Result<LogResponse, LogError>) {
        val response = pending
        pending = null
        head = null
        // A new one, since an idle connection would keep the memory of its longest response.
        body = ByteArrayOutputStream()
        response?.complete(result)
    }

    companion object {
        /** Result of an exchange on a connection that had closed before; a retry on another connection may succeed. */
        val NOT_SENT = LogError.Unavailable("the connection closed before the request was sent")

        private const val RETRY_AFTER_HEADER = "retry-after-ms"
    }
}
