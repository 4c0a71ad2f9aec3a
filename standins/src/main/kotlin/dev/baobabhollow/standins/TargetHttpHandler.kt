package dev.baobabhollow.standins

import io.netty.buffer.ByteBufUtil
import io.netty.channel.ChannelFutureListener
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.SimpleChannelInboundHandler
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.LastHttpContent
import java.io.ByteArrayOutputStream
import java.security.MessageDigest
import java.util.HexFormat

/**
 * Hashes request bodies as they arrive and passes complete calls to [onCall]. A connection carries one call at a time.
 */
internal class TargetHttpHandler(
    private val onCall: (TargetCall) -> Unit,
    private val onClose: (TargetCall?) -> Unit,
) : SimpleChannelInboundHandler<HttpObject>() {
    private val digest = MessageDigest.getInstance("SHA-256")
    private val text = ByteArrayOutputStream()
    private var request: HttpRequest? = null
    private var bytes = 0L
    private var running: TargetCall? = null

    /** Marks the current call as completed, so that the connection accepts the next one. */
    fun finish() {
        running = null
    }

    override fun channelRead0(
        context: ChannelHandlerContext,
        message: HttpObject,
    ) {
        if (message.decoderResult().isFailure || running != null) {
            refuse(context)
            return
        }
        if (message is HttpRequest) begin(context, message)
        if (message is HttpContent) receive(message)
        if (message is LastHttpContent) complete(context)
    }

    override fun channelInactive(context: ChannelHandlerContext) = onClose(running)

    @Deprecated("Netty deprecates the method in another interface only")
    override fun exceptionCaught(
        context: ChannelHandlerContext,
        cause: Throwable,
    ) {
        context.close()
    }

    private fun begin(
        context: ChannelHandlerContext,
        message: HttpRequest,
    ) {
        request = message
        bytes = 0
        digest.reset()
        text.reset()
        if (HttpUtil.is100ContinueExpected(message)) {
            context.writeAndFlush(continueResponse())
        }
    }

    private fun receive(content: HttpContent) {
        val part = ByteBufUtil.getBytes(content.content())
        digest.update(part)
        bytes += part.size
        if (text.size() + part.size <= MAX_TEXT_BYTES) text.write(part)
    }

    private fun complete(context: ChannelHandlerContext) {
        val head = request ?: return
        val hash = HexFormat.of().formatHex(digest.digest())
        val call = TargetCall(context.channel(), head, bytes, hash, text.toString(Charsets.UTF_8))
        running = call
        onCall(call)
    }

    private fun refuse(context: ChannelHandlerContext) {
        val isSecond = running != null
        if (isSecond) {
            context.close()
            return
        }
        context
            .writeAndFlush(errorResponse(HttpResponseStatus.BAD_REQUEST, "unreadable request"))
            .addListener(ChannelFutureListener.CLOSE)
    }

    private companion object {
        const val MAX_TEXT_BYTES = 65_536
    }
}
