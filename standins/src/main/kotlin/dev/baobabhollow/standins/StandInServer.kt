package dev.baobabhollow.standins

import dev.baobabhollow.model.Endpoint
import io.netty.bootstrap.ServerBootstrap
import io.netty.channel.Channel
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import io.netty.channel.socket.nio.NioServerSocketChannel
import io.netty.util.concurrent.DefaultThreadFactory
import java.net.InetSocketAddress
import java.util.concurrent.TimeUnit

/** HTTP listener on [host]:[port] (0 selects any free port). Its single event loop owns the state of the stand-in. */
internal class StandInServer(
    name: String,
    host: String,
    port: Int,
    initialize: (Channel) -> Unit,
) : AutoCloseable {
    private val group = MultiThreadIoEventLoopGroup(1, DefaultThreadFactory(name), NioIoHandler.newFactory())
    private val channel: Channel =
        try {
            ServerBootstrap()
                .group(group)
                .channel(NioServerSocketChannel::class.java)
                .option(ChannelOption.SO_REUSEADDR, true)
                .option(ChannelOption.SO_BACKLOG, BACKLOG)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(
                    object : ChannelInitializer<Channel>() {
                        override fun initChannel(child: Channel) = initialize(child)
                    },
                ).bind(host, port)
                .syncUninterruptibly()
                .channel()
        } catch (failure: Exception) {
            group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS)
            throw failure
        }

    /** Address that the server listens on. */
    val endpoint: Endpoint = (channel.localAddress() as InetSocketAddress).let { Endpoint(host, it.port) }

    /** Blocks until [close]. */
    fun awaitClose() {
        channel.closeFuture().sync()
    }

    override fun close() {
        channel.close().syncUninterruptibly()
        group.shutdownGracefully(0, CLOSE_MILLIS, TimeUnit.MILLISECONDS).awaitUninterruptibly(CLOSE_MILLIS)
    }

    private companion object {
        const val BACKLOG = 1_024
        const val CLOSE_MILLIS = 2_000L
    }
}
