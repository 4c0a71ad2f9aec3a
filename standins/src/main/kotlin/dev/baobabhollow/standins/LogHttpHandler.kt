package dev.baobabhollow.standins

import io.netty.channel.Channel
import io.netty.channel.ChannelFutureListener
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.SimpleChannelInboundHandler
import io.netty.handler.codec.http.FullHttpRequest
import io.netty.handler.codec.http.FullHttpResponse
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaderValues
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.QueryStringDecoder

/** A request and its response, which is sent at most once. Confined to the connection's event loop. */
internal class LogExchange(
    val channel: Channel,
    val method: HttpMethod,
    uri: String,
    val body: String,
    private val keepsConnection: Boolean,
) {
    private val query = QueryStringDecoder(uri)

    /** Path without the query. */
    val path: String = query.path()

    /** Returns a numeric query parameter, or [default] if it is missing or not a number. */
    fun number(
        name: String,
        default: Long,
    ): Long = query.parameters()[name]?.firstOrNull()?.toLongOrNull() ?: default

    /** Sends [response]. */
    fun respond(response: FullHttpResponse) {
        if (!keepsConnection) response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE)
        val sent = channel.writeAndFlush(response)
        if (!keepsConnection) sent.addListener(ChannelFutureListener.CLOSE)
    }

    /** Sends the head and half of the body of [response], then closes the connection. */
    fun respondTruncated(response: FullHttpResponse) {
        response.content().writerIndex(response.content().writerIndex() / 2)
        channel.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE)
    }
}

/** Converts requests to exchanges. Clients do not pipeline, so responses need no ordering. */
internal class LogHttpHandler(
    private val handle: (LogExchange) -> Unit,
) : SimpleChannelInboundHandler<FullHttpRequest>() {
    override fun channelRead0(
        context: ChannelHandlerContext,
        request: FullHttpRequest,
    ) {
        if (request.decoderResult().isFailure) {
            val reason = request.decoderResult().cause()?.message ?: "unreadable"
            context
                .writeAndFlush(errorResponse(HttpResponseStatus.BAD_REQUEST, reason))
                .addListener(ChannelFutureListener.CLOSE)
            return
        }
        val body = request.content().toString(Charsets.UTF_8)
        val keepsConnection = HttpUtil.isKeepAlive(request)
        val exchange = LogExchange(context.channel(), request.method(), request.uri(), body, keepsConnection)
        try {
            handle(exchange)
        } catch (failure: IllegalArgumentException) {
            exchange.respond(errorResponse(HttpResponseStatus.BAD_REQUEST, failure.message ?: "bad request"))
        }
    }

    @Deprecated("Netty deprecates the method in another interface only")
    override fun exceptionCaught(
        context: ChannelHandlerContext,
        cause: Throwable,
    ) {
        context.close()
    }
}
