package dev.baobabhollow.node

import dev.baobabhollow.model.Endpoint
import dev.baobabhollow.proxy.LimitedHeadersFactory
import dev.baobabhollow.proxy.OpenConnections
import dev.baobabhollow.proxy.maxHeaderFields
import io.netty.bootstrap.ServerBootstrap
import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ChannelFutureListener
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInitializer
import io.netty.channel.IoEventLoopGroup
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.SimpleChannelInboundHandler
import io.netty.channel.nio.NioIoHandler
import io.netty.channel.socket.SocketChannel
import io.netty.channel.socket.nio.NioServerSocketChannel
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.DefaultHttpHeadersFactory
import io.netty.handler.codec.http.FullHttpRequest
import io.netty.handler.codec.http.HttpDecoderConfig
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpObjectAggregator
import io.netty.handler.codec.http.HttpObjectDecoder
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpServerCodec
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.timeout.ReadTimeoutHandler
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit

/** A request to the operator port. */
data class OperatorRequest(
    val method: String,
    val path: String,
    val body: String,
    /** Query string without the question mark, or an empty string. */
    val query: String = "",
)

/** A response of the operator port. */
data class OperatorResponse(
    val status: Int,
    val body: String,
    val contentType: String = "application/json",
)

/**
 * HTTP server of the operator port at [endpoint], with one thread. [handle] must not block; it returns a future for a
 * response that has to wait. Servers can share one [sharedGroup], which its owner shuts down. Requests with bodies
 * above [maxBodyBytes] are rejected with status 413. Above 32 connections, the one that has been idle for longest
 * is closed. While incomplete requests hold more than 2 MB of header fields, the one that holds most is closed.
 */
class OperatorServer(
    private val endpoint: Endpoint,
    private val maxBodyBytes: Int,
    private val sharedGroup: IoEventLoopGroup? = null,
    private val handle: (OperatorRequest) -> CompletableFuture<OperatorResponse>,
) : AutoCloseable {
    private val group = sharedGroup ?: MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
    private val openConnections = OpenConnections<Channel>(MAX_CONNECTIONS) { it.close() }
    private val heads = HeldHeads<Channel>(MAX_HELD_HEAD_BYTES) { it.close() }
    private var channel: Channel? = null

    /** Binds the port. Throws if it is in use. */
    fun start() {
        val initializer =
            object : ChannelInitializer<SocketChannel>() {
                override fun initChannel(channel: SocketChannel) {
                    channel.pipeline().addLast(
                        ReadTimeoutHandler(IDLE_SECONDS, TimeUnit.SECONDS),
                        HttpServerCodec(decoderConfig(channel)),
                        HttpObjectAggregator(maxBodyBytes),
                        RequestHandler(),
                    )
                }
            }
        channel =
            ServerBootstrap()
                .group(group)
                .channel(NioServerSocketChannel::class.java)
                .childHandler(initializer)
                .bind(endpoint.host, endpoint.port)
                .sync()
                .channel()
    }

    private fun decoderConfig(channel: Channel): HttpDecoderConfig {
        val maxFields = maxHeaderFields(HttpObjectDecoder.DEFAULT_MAX_HEADER_SIZE)
        val onField = { bytes: Long -> heads.add(channel, bytes) }
        return HttpDecoderConfig()
            .setHeadersFactory(LimitedHeadersFactory(DefaultHttpHeadersFactory.headersFactory(), maxFields, onField))
            .setTrailersFactory(LimitedHeadersFactory(DefaultHttpHeadersFactory.trailersFactory(), maxFields, onField))
    }

    /** Closes the port and all connections. */
    override fun close() {
        channel?.close()?.syncUninterruptibly()
        if (sharedGroup != null) return
        group.shutdownGracefully(0, CLOSE_MILLIS, TimeUnit.MILLISECONDS).awaitUninterruptibly(CLOSE_MILLIS)
    }

    private inner class RequestHandler : SimpleChannelInboundHandler<FullHttpRequest>() {
        override fun channelActive(context: ChannelHandlerContext) {
            openConnections.opened(context.channel())
            context.fireChannelActive()
        }

        override fun channelInactive(context: ChannelHandlerContext) {
            openConnections.closed(context.channel())
            heads.closed(context.channel())
            context.fireChannelInactive()
        }

        override fun channelRead0(
            context: ChannelHandlerContext,
            request: FullHttpRequest,
        ) {
            openConnections.busy(context.channel())
            heads.release(context.channel())
            val keepAlive = HttpUtil.isKeepAlive(request)
            val parsed =
                OperatorRequest(
                    request.method().name(),
                    request.uri().substringBefore('?'),
                    request.content().toString(Charsets.UTF_8),
                    request.uri().substringAfter('?', ""),
                )
            val pending = runCatching { handle(parsed) }.getOrElse { CompletableFuture.failedFuture(it) }
            pending.whenComplete { response, failure ->
                val sent = response ?: OperatorResponse(INTERNAL_ERROR, errorBody(failure.toString()))
                context.executor().execute { write(context, sent, keepAlive) }
            }
        }

        @Deprecated("Deprecated by Netty for other handlers")
        override fun exceptionCaught(
            context: ChannelHandlerContext,
            cause: Throwable,
        ) {
            context.close()
        }
    }

    private fun write(
        context: ChannelHandlerContext,
        response: OperatorResponse,
        keepAlive: Boolean,
    ) {
        val body = Unpooled.wrappedBuffer(response.body.encodeToByteArray())
        val status = HttpResponseStatus.valueOf(response.status)
        val message = DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, body)
        message.headers()[HttpHeaderNames.CONTENT_TYPE] = response.contentType
        message.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes())
        HttpUtil.setKeepAlive(message, keepAlive)
        val sent = context.writeAndFlush(message)
        // A peer that does not read its response must not keep the connection from being closed.
        if (context.channel().isActive) openConnections.idle(context.channel())
        if (!keepAlive) sent.addListener(ChannelFutureListener.CLOSE)
    }

    private companion object {
        const val INTERNAL_ERROR = 500

        /** Operators, the platform and the target use a few; each may hold a body and a response. */
        const val MAX_CONNECTIONS = 32

        /** Room for the longest heads of four connections; a few fields of an ordinary one take 2 KB. */
        const val MAX_HELD_HEAD_BYTES = 2L * 1_024 * 1_024
        const val IDLE_SECONDS = 120L
        const val CLOSE_MILLIS = 500L
    }
}
