package dev.baobabhollow.bench.calls

import io.netty.bootstrap.ServerBootstrap
import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import io.netty.channel.socket.nio.NioServerSocketChannel
import io.netty.handler.codec.http.HttpRequestDecoder
import io.netty.handler.codec.http.LastHttpContent
import io.netty.util.ReferenceCountUtil
import io.netty.util.concurrent.DefaultThreadFactory
import io.netty.util.concurrent.ScheduledFuture
import java.net.InetSocketAddress
import java.util.concurrent.TimeUnit

/**
 * HTTP server that simulates a target with [slots] workers, each busy for [serviceMillis] per call, with bodies of
 * `responseBytes`. If [serviceMillis]
 * is 0, calls are answered immediately. Calls beyond the slots wait in an unbounded FIFO queue; closing a connection
 * cancels its call.
 */
internal class BenchTarget(
    private val slots: Int,
    private val serviceMillis: Long,
    responseBytes: Int = SHORT_RESPONSE_BYTES,
) : AutoCloseable {
    private val response =
        "HTTP/1.1 200 OK\r\ncontent-type: text/plain\r\ncontent-length: $responseBytes\r\n\r\n"
            .plus("x".repeat(responseBytes))
            .toByteArray(Charsets.US_ASCII)
    private val group = MultiThreadIoEventLoopGroup(1, DefaultThreadFactory("target"), NioIoHandler.newFactory())
    private val waiting = ArrayDeque<Connection>()
    private var running = 0
    private val channel: Channel =
        ServerBootstrap()
            .group(group)
            .channel(NioServerSocketChannel::class.java)
            .option(ChannelOption.SO_BACKLOG, BACKLOG)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childHandler(
                object : ChannelInitializer<Channel>() {
                    override fun initChannel(channel: Channel) {
                        channel.pipeline().addLast(HttpRequestDecoder(), Connection())
                    }
                },
            ).bind(InetSocketAddress("127.0.0.1", 0))
            .syncUninterruptibly()
            .channel()

    val port: Int get() = (channel.localAddress() as InetSocketAddress).port

    private inner class Connection : ChannelInboundHandlerAdapter() {
        private lateinit var context: ChannelHandlerContext
        private var completion: ScheduledFuture<*>? = null

        override fun channelRead(
            ctx: ChannelHandlerContext,
            message: Any,
        ) {
            context = ctx
            val isEnd = message is LastHttpContent
            ReferenceCountUtil.release(message)
            if (!isEnd) return
            if (serviceMillis == 0L) return respond()
            waiting.addLast(this)
            startNext()
        }

        fun start() {
            completion = context.executor().schedule({ finish() }, serviceMillis, TimeUnit.MILLISECONDS)
        }

        private fun finish() {
            completion = null
            running--
            respond()
            startNext()
        }

        private fun respond() {
            context.writeAndFlush(Unpooled.wrappedBuffer(response), context.voidPromise())
        }

        override fun channelInactive(ctx: ChannelHandlerContext) {
            waiting.remove(this)
            if (completion?.cancel(false) != true) return
            running--
            startNext()
        }
    }

    private fun startNext() {
        while (running < slots && waiting.isNotEmpty()) {
            running++
            waiting.removeFirst().start()
        }
    }

    override fun close() {
        channel.close()
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS)
    }

    private companion object {
        const val BACKLOG = 4_096
        const val SHORT_RESPONSE_BYTES = 100
    }
}
