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

/** Holds one complete answer of the log. [retryAfterMillis] is null if the answer does not state it. */
class LogResponse internal constructor(
    val status: Int,
    val retryAfterMillis: Long?,
    val bytes: ByteArray,
    internal val keepsConnection: Boolean,
    private val headers: HttpHeaders,
) {
    /** Returns the value of the header [name], or null. */
    fun header(name: String): String? = headers.get(name)

    /** The body as text. */
    val body: String get() = bytes.decodeToString()
}

/** Receives the outcome of an exchange. */
internal typealias AnswerFuture = CompletableFuture<Result<LogResponse, LogError>>

/** Runs exchanges on one connection, one at a time. The fields belong to the event loop. */
internal class LogConnection(
    private val maxResponseBytes: Int,
) : SimpleChannelInboundHandler<HttpObject>() {
    private var pending: AnswerFuture? = null
    private var head: HttpResponse? = null
    private val body = ByteArrayOutputStream()

    /** Sends [request] on [channel] and completes [answer]. Any failure closes the channel. */
    fun exchange(
        channel: Channel,
        request: FullHttpRequest,
        answer: AnswerFuture,
    ) = channel.eventLoop().execute {
        if (pending != null || !channel.isActive) {
            request.release()
            answer.complete(Err(NOT_SENT))
        } else {
            pending = answer
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
        if (failure != null) return fail(context.channel(), LogError.Malformed("no HTTP answer: ${failure.message}"))
        if (message is HttpResponse && !begin(message)) {
            return fail(context.channel(), LogError.Malformed("the answer states no length"))
        }
        if (message is HttpContent && !keep(message)) {
            return fail(context.channel(), LogError.Malformed("the answer exceeds $maxResponseBytes bytes"))
        }
        if (message is LastHttpContent) finish()
    }

    override fun channelInactive(context: ChannelHandlerContext) =
        fail(context.channel(), LogError.OutcomeUnknown("connection closed before the answer was complete"))

    @Deprecated("Netty deprecates the method in another interface only")
    override fun exceptionCaught(
        context: ChannelHandlerContext,
        cause: Throwable,
    ) = fail(context.channel(), LogError.OutcomeUnknown("connection failed: ${cause.message}"))

    // Without a stated length the end of the connection would be the end of the body, and a cut could not be seen.
    private fun begin(response: HttpResponse): Boolean {
        head = response
        body.reset()
        return HttpUtil.isContentLengthSet(response) || HttpUtil.isTransferEncodingChunked(response)
    }

    private fun keep(content: HttpContent): Boolean {
        if (body.size() + content.content().readableBytes() > maxResponseBytes) return false
        body.write(ByteBufUtil.getBytes(content.content()))
        return true
    }

    private fun finish() {
        val response = head ?: return
        val answer =
            LogResponse(
                response.status().code(),
                response.headers().get(RETRY_AFTER_HEADER)?.toLongOrNull(),
                body.toByteArray(),
                HttpUtil.isKeepAlive(response),
                response.headers(),
            )
        complete(Ok(answer))
    }

    private fun fail(
        channel: Channel,
        error: LogError,
    ) {
        complete(Err(error))
        channel.close()
    }

    private fun complete(result: Result<LogResponse, LogError>) {
        val answer = pending
        pending = null
        head = null
        body.reset()
        answer?.complete(result)
    }

    companion object {
        /** Error of an exchange on a connection that had just closed; another connection may serve it. */
        val NOT_SENT = LogError.Unavailable("the connection closed before the request was sent")

        private const val RETRY_AFTER_HEADER = "retry-after-ms"
    }
}
