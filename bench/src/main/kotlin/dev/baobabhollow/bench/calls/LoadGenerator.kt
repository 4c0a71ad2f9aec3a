package dev.baobabhollow.bench.calls

import io.netty.bootstrap.Bootstrap
import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ChannelFuture
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoop
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import io.netty.channel.socket.nio.NioSocketChannel
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseDecoder
import io.netty.handler.codec.http.LastHttpContent
import io.netty.util.ReferenceCountUtil
import io.netty.util.concurrent.DefaultThreadFactory
import org.HdrHistogram.Histogram
import java.net.InetSocketAddress
import java.util.concurrent.TimeUnit
import java.util.concurrent.locks.LockSupport
import kotlin.math.ln
import kotlin.random.Random

/** Results seen by callers: [good] calls got status 200 by their deadline; [latency] is theirs in nanoseconds. */
internal class LoadResult(
    val latency: Histogram = Histogram(1, 60_000_000_000L, 3),
    var offered: Long = 0,
    var good: Long = 0,
    var refused: Long = 0,
    var failed: Long = 0,
) {
    fun add(other: LoadResult) {
        latency.add(other.latency)
        offered += other.offered
        good += other.good
        refused += other.refused
        failed += other.failed
    }
}

/**
 * Open-loop load generator: sends calls as a Poisson process, whether or not earlier calls have been answered. Latency
 * counts from the scheduled send time, so that a slow server cannot hide the time that calls wait before they are sent
 * (coordinated omission).
 */
internal class LoadGenerator(
    loops: Int,
    private val deadlineMillis: Long,
    seed: Long,
) : AutoCloseable {
    private val group = MultiThreadIoEventLoopGroup(loops, DefaultThreadFactory("generator"), NioIoHandler.newFactory())
    private val loopConnections = group.map { LoopConnections(it as EventLoop) }
    private val random = Random(seed)

    /** Sends calls to [ports] in round-robin order and returns once all are answered or past their deadline. */
    fun run(
        ports: List<Int>,
        callsPerSecond: Double,
        seconds: Int,
    ): LoadResult {
        loopConnections.forEach { it.runOnLoop { reset() } }
        val start = System.nanoTime()
        val end = start + TimeUnit.SECONDS.toNanos(seconds.toLong())
        var due = start.toDouble()
        var count = 0
        while (true) {
            due += -ln(1 - random.nextDouble()) / callsPerSecond * NANOS_PER_SECOND
            if (due >= end) break
            val dueNanos = due.toLong()
            waitUntil(dueNanos)
            val connections = loopConnections[count % loopConnections.size]
            val port = ports[(count / loopConnections.size) % ports.size]
            connections.loop.execute { connections.send(port, dueNanos) }
            count++
        }
        awaitResponses(System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(deadlineMillis + SETTLE_MILLIS))
        val result = LoadResult()
        loopConnections.forEach { connections -> connections.runOnLoop { result.add(finish()) } }
        return result
    }

    /** Waits until no call is in flight or [deadlineNanos] is reached. */
    private fun awaitResponses(deadlineNanos: Long) {
        while (System.nanoTime() < deadlineNanos) {
            LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(SETTLE_MILLIS))
            if (loopConnections.all { connections -> connections.isIdle() }) return
        }
    }

    private fun waitUntil(dueNanos: Long) {
        val remainingNanos = dueNanos - System.nanoTime()
        // A parked thread wakes up late, so the last 150 µs are spent spinning.
        if (remainingNanos > SPIN_NANOS) LockSupport.parkNanos(remainingNanos - SPIN_NANOS)
        while (System.nanoTime() < dueNanos) Thread.onSpinWait()
    }

    override fun close() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).await(2, TimeUnit.SECONDS)
    }

    /** Connections of one event loop, and the results of their calls. */
    private inner class LoopConnections(
        val loop: EventLoop,
    ) {
        private val idle = HashMap<Int, ArrayDeque<Connection>>()
        private val busy = LinkedHashSet<Connection>()
        var result = LoadResult()

        init {
            loop.scheduleAtFixedRate({ expire() }, EXPIRE_MILLIS, EXPIRE_MILLIS, TimeUnit.MILLISECONDS)
        }

        fun isIdle(): Boolean = loop.submit<Boolean> { busy.isEmpty() }.syncUninterruptibly().now

        fun runOnLoop(action: LoopConnections.() -> Unit) {
            loop.submit { action() }.syncUninterruptibly()
        }

        fun reset() {
            result = LoadResult()
        }

        fun send(
            port: Int,
            dueNanos: Long,
        ) {
            result.offered++
            val idleConnections = idle.getOrPut(port) { ArrayDeque() }
            val connection = idleConnections.removeLastOrNull() ?: Connection(this, port)
            busy.add(connection)
            connection.send(dueNanos)
        }

        fun onResponse(
            connection: Connection,
            status: Int,
            nanos: Long,
        ) {
            busy.remove(connection)
            val isInTime = nanos <= TimeUnit.MILLISECONDS.toNanos(deadlineMillis)
            when {
                status == OK && isInTime -> {
                    result.good++
                    result.latency.recordValue(nanos.coerceAtLeast(1))
                }

                status == UNAVAILABLE -> {
                    result.refused++
                }

                else -> {
                    result.failed++
                }
            }
        }

        fun release(connection: Connection) {
            idle.getOrPut(connection.port) { ArrayDeque() }.addLast(connection)
        }

        fun onClosed(connection: Connection) {
            idle[connection.port]?.remove(connection)
            if (busy.remove(connection)) result.failed++
        }

        private fun expire() {
            val oldestDueNanos = System.nanoTime() - TimeUnit.MILLISECONDS.toNanos(deadlineMillis + EXPIRE_MILLIS)
            busy.filter { it.dueNanos < oldestDueNanos }.forEach { it.close() }
        }

        fun finish(): LoadResult {
            busy.toList().forEach { it.close() }
            result.failed = result.offered - result.good - result.refused
            return result
        }
    }

    private inner class Connection(
        private val connections: LoopConnections,
        val port: Int,
    ) : ChannelInboundHandlerAdapter() {
        private var channel: Channel? = null
        private var isClosed = false
        private var status = 0
        var dueNanos = 0L

        fun send(dueNanos: Long) {
            this.dueNanos = dueNanos
            status = 0
            val open = channel
            if (open != null) write(open) else connect()
        }

        private fun connect() {
            Bootstrap()
                .group(connections.loop)
                .channel(NioSocketChannel::class.java)
                .option(ChannelOption.TCP_NODELAY, true)
                .handler(
                    object : ChannelInitializer<Channel>() {
                        override fun initChannel(channel: Channel) {
                            channel.pipeline().addLast(HttpResponseDecoder(), this@Connection)
                        }
                    },
                ).connect(InetSocketAddress("127.0.0.1", port))
                .addListener { onConnected(it as ChannelFuture) }
        }

        private fun onConnected(future: ChannelFuture) {
            if (!future.isSuccess || isClosed) {
                connections.onClosed(this)
                future.channel().close()
                return
            }
            channel = future.channel()
            write(future.channel())
        }

        private fun write(open: Channel) {
            open.writeAndFlush(Unpooled.wrappedBuffer(REQUEST), open.voidPromise())
        }

        fun close() {
            isClosed = true
            connections.onClosed(this)
            channel?.close()
        }

        override fun channelRead(
            ctx: ChannelHandlerContext,
            message: Any,
        ) {
            if (message is HttpResponse) status = message.status().code()
            val isEnd = message is LastHttpContent
            ReferenceCountUtil.release(message)
            if (!isEnd || isClosed) return
            connections.onResponse(this, status, System.nanoTime() - dueNanos)
            connections.release(this)
        }

        override fun channelInactive(ctx: ChannelHandlerContext) {
            isClosed = true
            connections.onClosed(this)
        }
    }

    private companion object {
        const val NANOS_PER_SECOND = 1e9
        const val SPIN_NANOS = 150_000L
        const val SETTLE_MILLIS = 100L
        const val EXPIRE_MILLIS = 10L
        const val OK = 200
        const val UNAVAILABLE = 503
        val REQUEST = "GET /bench HTTP/1.1\r\nhost: bench\r\naccept: */*\r\n\r\n".toByteArray(Charsets.US_ASCII)
    }
}
