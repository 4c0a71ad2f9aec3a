package dev.baobabhollow.proxy

import dev.baobabhollow.model.Endpoint
import dev.baobabhollow.platformlog.keepAlive
import io.netty.bootstrap.Bootstrap
import io.netty.channel.Channel
import io.netty.channel.ChannelFuture
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoop
import io.netty.channel.socket.nio.NioSocketChannel
import io.netty.handler.codec.http.HttpRequestEncoder
import java.net.InetSocketAddress
import java.util.concurrent.ConcurrentLinkedDeque
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger

/** Limits the total number of connections of all event loops to one endpoint. */
internal class ConnectionLimit(
    @Volatile var max: Int,
) {
    private val open = AtomicInteger()

    /** Pools that share the limit; at the limit, a pool closes an idle connection of another pool to get room. */
    val pools = ConcurrentLinkedDeque<ConnectionPool>()

    fun tryOpen(): Boolean {
        if (open.incrementAndGet() <= max) return true
        open.decrementAndGet()
        return false
    }

    fun closed() {
        open.decrementAndGet()
    }

    val isUnused: Boolean get() = open.get() == 0
}

/** Pools the connections of one event loop to one endpoint. Confined to that event loop except for [closeOneIdle]. */
internal class ConnectionPool(
    private val loop: EventLoop,
    val endpoint: Endpoint,
    private val settings: ProxySettings,
    private val limit: ConnectionLimit,
    private val nowMillis: () -> Long,
    val isLagging: () -> Boolean,
    val memory: HeldMemory,
) {
    private val idle = ConcurrentLinkedDeque<UpstreamConnection>()
    private val address = InetSocketAddress(endpoint.host, endpoint.port)
    private val bootstrap =
        Bootstrap()
            .group(loop)
            .channel(NioSocketChannel::class.java)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.RECVBUF_ALLOCATOR, MemoryAwareReads(memory))
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, settings.connectTimeoutMillis)
            .handler(
                object : ChannelInitializer<Channel>() {
                    override fun initChannel(channel: Channel) = prepare(channel)
                },
            )

    init {
        limit.pools.add(this)
        settings.keepAliveSeconds?.let { bootstrap.keepAlive(it) }
    }

    /** Runs [step] on the pool's event loop after [delayMillis]. */
    fun schedule(
        delayMillis: Long,
        step: () -> Unit,
    ) {
        loop.schedule(step, delayMillis, TimeUnit.MILLISECONDS)
    }

    /** Runs [step] after the event loop has read all connections once more. */
    fun afterNextIteration(step: () -> Unit) = loop.afterNextIteration(step)

    /** Calls [ready] with a connection, or with null and the reason; the reason is null if connecting failed. */
    fun acquire(ready: (UpstreamConnection?, FailureReason?) -> Unit) = acquire(LIMIT_RETRIES, ready)

    private fun acquire(
        retries: Int,
        ready: (UpstreamConnection?, FailureReason?) -> Unit,
    ) {
        while (true) {
            val connection = idle.pollFirst() ?: break
            if (connection.isUsable && !isStale(connection)) return ready(connection, null)
            connection.channel.close()
        }
        if (limit.tryOpen()) return connect(ready)
        if (retries == 0) return ready(null, FailureReason.TOO_MANY_CONNECTIONS)
        limit.pools.any { it !== this && it.closeOneIdle() }
        loop.schedule({ acquire(retries - 1, ready) }, 1, TimeUnit.MILLISECONDS)
    }

    private fun connect(ready: (UpstreamConnection?, FailureReason?) -> Unit) {
        bootstrap.connect(address).addListener { future ->
            val channel = (future as ChannelFuture).channel()
            if (!future.isSuccess) {
                limit.closed()
                ready(null, null)
                return@addListener
            }
            channel.closeFuture().addListener { limit.closed() }
            ready(channel.pipeline().get(UpstreamConnection::class.java), null)
        }
    }

    private fun prepare(channel: Channel) {
        val decoder = StrictResponseDecoder(settings, memory)
        val meter = ConnectionMeter(memory) { decoder.undecodedBytes }
        val connection = UpstreamConnection(channel, decoder, meter, settings.maxStrayResponseBytes, ::release)
        channel.pipeline().addLast(
            meter,
            connection.strayByteGuard,
            HttpRequestEncoder(),
            decoder,
            BodyCoalescer(),
            connection,
        )
    }

    /** Returns a connection without an exchange to the pool. */
    fun release(connection: UpstreamConnection) {
        connection.idleSinceMillis = nowMillis()
        idle.addFirst(connection)
    }

    /** Closes connections that were idle for too long and removes closed ones. */
    fun sweep() {
        idle.removeIf { connection ->
            val isExpired = !connection.channel.isActive || isStale(connection)
            if (isExpired) connection.channel.close()
            isExpired
        }
    }

    /** The peer also closes idle connections. Half of its stated idle timeout leaves time for a request in transit. */
    private fun isStale(connection: UpstreamConnection): Boolean {
        val stated = connection.idleLimitMillis?.let { it / 2 } ?: Long.MAX_VALUE
        return nowMillis() - connection.idleSinceMillis > minOf(settings.upstreamIdleMillis, stated)
    }

    /** True if no connection is open, in use or idle. */
    val isUnused: Boolean get() = limit.isUnused

    private fun closeOneIdle(): Boolean {
        val connection = idle.pollLast() ?: return false
        connection.channel.close()
        return true
    }

    private companion object {
        /** Retries to get a connection at the limit, one each millisecond. */
        const val LIMIT_RETRIES = 50
    }
}

/** Runs [step] after the loop has read all connections once more, which two nested scheduled tasks ensure. */
internal fun EventLoop.afterNextIteration(step: () -> Unit) {
    schedule({ schedule(step, 0, TimeUnit.MILLISECONDS) }, 0, TimeUnit.MILLISECONDS)
}

/** The connection pools of one event loop to owner nodes. */
internal class OwnerPools(
    private val loop: EventLoop,
    private val settings: ProxySettings,
    private val nowMillis: () -> Long,
    private val isLagging: () -> Boolean,
    private val memory: HeldMemory,
) {
    private val pools = HashMap<Endpoint, ConnectionPool>()

    fun of(endpoint: Endpoint): ConnectionPool =
        pools.getOrPut(endpoint) {
            val limit = ConnectionLimit(settings.connectionsPerOwnerAndLoop)
            ConnectionPool(loop, endpoint, settings, limit, nowMillis, isLagging, memory)
        }

    fun sweep() {
        pools.values.forEach { it.sweep() }
        pools.values.removeIf { it.isUnused }
    }
}
