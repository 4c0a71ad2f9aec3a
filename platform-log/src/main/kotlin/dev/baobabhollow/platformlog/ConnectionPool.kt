package dev.baobabhollow.platformlog

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import dev.baobabhollow.model.Endpoint
import dev.baobabhollow.model.LogError
import io.netty.bootstrap.Bootstrap
import io.netty.channel.Channel
import io.netty.channel.ChannelFuture
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.IoEventLoopGroup
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import io.netty.channel.socket.nio.NioSocketChannel
import io.netty.handler.codec.http.HttpClientCodec
import io.netty.util.NetUtil
import io.netty.util.concurrent.DefaultThreadFactory
import java.net.InetAddress
import java.net.InetSocketAddress
import java.util.concurrent.ConcurrentLinkedDeque
import java.util.concurrent.RejectedExecutionException
import java.util.concurrent.Semaphore
import java.util.concurrent.TimeUnit

/** Pool of connections, each used by one exchange at a time. Opens new connections up to a limit. */
internal class ConnectionPool(
    endpoint: Endpoint,
    private val limits: LogClientLimits,
    private val sharedGroup: IoEventLoopGroup?,
) : AutoCloseable {
    private val group =
        sharedGroup
            ?: MultiThreadIoEventLoopGroup(1, DefaultThreadFactory("platform-log"), NioIoHandler.newFactory())
    private val address = addressOf(endpoint)
    private val idle = ConcurrentLinkedDeque<Channel>()
    private val permits = Semaphore(limits.maxConnections)
    private val bootstrap =
        Bootstrap()
            .group(group)
            .channel(NioSocketChannel::class.java)
            .option(ChannelOption.TCP_NODELAY, true)
            .handler(Initializer(limits))

    init {
        limits.keepAliveSeconds?.let { bootstrap.keepAlive(it) }
    }

    @Volatile
    private var closed = false

    /** Returns an open connection for exclusive use. The caller must pass it to [release] or [discard]. */
    fun acquire(timeoutMillis: Long): Result<Channel, LogError> {
        if (closed) return Err(LogError.Unavailable("the client is closed"))
        if (!permits.tryAcquire(timeoutMillis, TimeUnit.MILLISECONDS)) {
            return Err(LogError.Unavailable("all ${limits.maxConnections} connections are in use"))
        }
        var acquired = false
        try {
            val channel = generateSequence { idle.pollFirst() }.firstOrNull { it.isActive }
            val result = if (channel != null) Ok(channel) else connect(timeoutMillis)
            acquired = result.isOk
            return result
        } finally {
            if (!acquired) permits.release()
        }
    }

    /** Returns a connection to the pool after a complete exchange. */
    fun release(channel: Channel) {
        idle.addFirst(channel)
        permits.release()
        if (closed) channel.close()
    }

    /** Closes a connection whose exchange did not complete. */
    fun discard(channel: Channel) {
        channel.close()
        permits.release()
    }

    override fun close() {
        closed = true
        idle.forEach { it.close() }
        if (sharedGroup != null) return
        group.shutdownGracefully(0, CLOSE_MILLIS, TimeUnit.MILLISECONDS).awaitUninterruptibly(CLOSE_MILLIS)
    }

    private fun connect(timeoutMillis: Long): Result<Channel, LogError> {
        val connectMillis = minOf(timeoutMillis, limits.connectTimeoutMillis).coerceAtLeast(1)
        val future =
            try {
                bootstrap
                    .clone()
                    .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, connectMillis.toInt())
                    .connect(address)
            } catch (failure: RejectedExecutionException) {
                return Err(LogError.Unavailable("the client is closed: ${failure.message}"))
            }
        return awaitConnection(future, connectMillis)
    }

    private fun awaitConnection(
        future: ChannelFuture,
        connectMillis: Long,
    ): Result<Channel, LogError> {
        val finished =
            try {
                future.await(connectMillis)
            } catch (interrupt: InterruptedException) {
                future.channel().close()
                throw interrupt
            }
        if (finished && future.isSuccess) return Ok(future.channel())
        future.channel().close()
        val reason = future.cause()?.message ?: "no connection to $address within $connectMillis ms"
        return Err(LogError.Unavailable(reason))
    }

    private class Initializer(
        private val limits: LogClientLimits,
    ) : ChannelInitializer<Channel>() {
        override fun initChannel(channel: Channel) {
            channel.pipeline().addLast(HttpClientCodec(), LogConnection(limits))
        }
    }

    private companion object {
        const val CLOSE_MILLIS = 2_000L

        fun addressOf(endpoint: Endpoint): InetSocketAddress {
            val bytes = NetUtil.createByteArrayFromIpAddressString(endpoint.host)
            requireNotNull(bytes) { "the platform log's host must be an IP address, not '${endpoint.host}'" }
            return InetSocketAddress(InetAddress.getByAddress(bytes), endpoint.port)
        }
    }
}
