package dev.baobabhollow.proxy

import dev.baobabhollow.calls.RoutingTable
import dev.baobabhollow.model.Endpoint
import dev.baobabhollow.model.NodeRecord
import dev.baobabhollow.model.OutcomeSummary
import io.netty.bootstrap.ServerBootstrap
import io.netty.channel.Channel
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoop
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.ServerChannelRecvByteBufAllocator
import io.netty.channel.group.ChannelGroup
import io.netty.channel.group.DefaultChannelGroup
import io.netty.channel.nio.NioIoHandler
import io.netty.channel.socket.nio.NioServerSocketChannel
import io.netty.handler.timeout.IdleStateHandler
import io.netty.util.concurrent.DefaultThreadFactory
import io.netty.util.concurrent.GlobalEventExecutor
import org.apache.logging.log4j.LogManager
import java.net.InetSocketAddress
import java.util.concurrent.TimeUnit

/**
 * Serves callers, and calls of other nodes to the local target, from construction until [close].
 *
 * [self] announces the peer call port and the target, [tables] returns the current routing table, and [targetEndpoint]
 * is the address of the local target, if there is one. [nowMillis] is the clock in epoch milliseconds. Throws
 * [java.net.BindException] if a port is in use.
 */
class ProxyServer(
    settings: ProxySettings,
    self: NodeRecord,
    tables: () -> RoutingTable,
    targetEndpoint: Endpoint?,
    nowMillis: () -> Long,
    private val recorder: OutcomeRecorder,
    claims: KeyClaims,
    metrics: ProxyMetrics,
    quotas: CallQuotas = NoCallQuotas,
) : AutoCloseable {
    internal val node = NodeCore(settings, self, tables, targetEndpoint, nowMillis, recorder, claims, metrics, quotas)
    private val group =
        MultiThreadIoEventLoopGroup(settings.eventLoops, DefaultThreadFactory("proxy"), NioIoHandler.newFactory())
    private val connections: ChannelGroup = DefaultChannelGroup(GlobalEventExecutor.INSTANCE, true)
    private val callers = listen(settings.callersEndpoint, EntryPort(node))
    private val peers = listen(self.peerCallEndpoint, OwnerPort(node))

    /** Port that serves callers. */
    val callersPort: Int get() = (callers.localAddress() as InetSocketAddress).port

    /** Port that serves calls from entry nodes. */
    val peerCallPort: Int get() = (peers.localAddress() as InetSocketAddress).port

    /** Number of calls in flight on both ports. */
    val inFlight: Int get() = node.inFlight

    /** Bytes that the calls and connections of the node hold. */
    val heldBytes: Long get() = node.memory.bytes

    /** Number of open connections of callers and entry nodes. */
    val openConnections: Int get() = connections.size

    /** Calls that hold a slot of the local target or wait for one, in permille of its slots. */
    val loadPermille: Int get() = node.admission.loadPermille

    /** Returns the longest lag of an event loop in milliseconds since the last call. */
    fun takeLongestLag(): Long = group.maxOf { node.pools(it as EventLoop).lag.takeLongest() }

    init {
        group.forEach { loop ->
            val pools = node.pools(loop as EventLoop)
            pools.lag.start(loop)
            loop.scheduleWithFixedDelay({ pools.sweep() }, SWEEP_MILLIS, SWEEP_MILLIS, TimeUnit.MILLISECONDS)
        }
        LOG.info("event=proxy_started callers_port={} peer_call_port={}", callersPort, peerCallPort)
    }

    /** Applies a changed record of this node: slots, connections, release and status of its target. */
    fun update(self: NodeRecord) = node.update(self)

    /**
     * Takes a report of the local target that it stays cold for [leftMillis], or null if it does not say. [bornMillis] is
     * its start in epoch milliseconds of its own clock, or null if the report omits it.
     */
    fun reportWarmUp(
        bornMillis: Long?,
        leftMillis: Long?,
    ) = node.coldGuard?.onReport(bornMillis, leftMillis)

    /** Requests a second that the local target gets at most while it is believed to be cold, otherwise null. */
    val coldPerSecond: Double? get() = node.coldGuard?.coldPerSecond

    /** Percentage of its usual time that work takes at the local target, as it stated last, or null. */
    val workDurationPercent: Int? get() = node.targetEstimate.workDurationPercent

    /** Drops the statistics of targets and services that are not in [table]. Call it after a change of the table. */
    fun forgetAbsent(table: RoutingTable) = node.forgetAbsent(table)

    /** Returns the outcomes of calls to the local target since the last call, by route and release. */
    fun drainOutcomes(nowMillis: Long): List<OutcomeSummary> = recorder.drainOutcomes(node.self, nowMillis)

    /** Returns the call counts as callers saw them since the start. */
    fun burnCounts(): List<BurnCount> = recorder.burnCounts()

    /**
     * Adds `connection: close` to all further responses, so that callers disconnect. Calls are still served, except those
     * that may not be repeated and may last longer than [drainUntilMillis] (epoch milliseconds), when the drain ends.
     */
    fun announceClose(drainUntilMillis: Long = Long.MAX_VALUE) = node.close(drainUntilMillis)

    /**
     * Refuses new calls as not run, and blocks until the calls in flight have ended or [deadlineMillis] (epoch
     * milliseconds) has passed. Returns the number of remaining calls. Must not be called on an event loop.
     */
    fun drain(deadlineMillis: Long): Int {
        LOG.info("event=proxy_draining in_flight={}", node.inFlight)
        node.drain()
        val left = node.awaitIdle(deadlineMillis)
        LOG.info("event=proxy_drained left={}", left)
        return left
    }

    /** Closes both ports and all connections. */
    override fun close() {
        callers.close()
        peers.close()
        if (node.isDraining) endConnections()
        group.shutdownGracefully(0, CLOSE_MILLIS, TimeUnit.MILLISECONDS).await(CLOSE_MILLIS * 2, TimeUnit.MILLISECONDS)
    }

    /**
     * Ends each connection on its own event loop, so that no response is cut off and the calls that are still in flight
     * get one: a caller may repeat a call that has not run, and has to know it.
     */
    private fun endConnections() {
        connections.forEach { channel ->
            channel.eventLoop().execute { channel.pipeline().get(DownstreamHandler::class.java)?.endOnStop() }
        }
        connections.newCloseFuture().await(CLOSE_CONNECTIONS_MILLIS, TimeUnit.MILLISECONDS)
    }

    private fun listen(
        endpoint: Endpoint,
        port: CallPort,
    ): Channel =
        ServerBootstrap()
            .group(group)
            .channel(NioServerSocketChannel::class.java)
            .option(ChannelOption.SO_BACKLOG, BACKLOG)
            .option(ChannelOption.SO_REUSEADDR, true)
            .option(ChannelOption.RECVBUF_ALLOCATOR, ServerChannelRecvByteBufAllocator().maxMessagesPerRead(ACCEPTS))
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childOption(ChannelOption.RECVBUF_ALLOCATOR, MemoryAwareReads(node.memory))
            .childHandler(
                object : ChannelInitializer<Channel>() {
                    override fun initChannel(channel: Channel) = prepare(channel, port)
                },
            ).bind(InetSocketAddress(endpoint.host, endpoint.port))
            .syncUninterruptibly()
            .channel()

    private fun prepare(
        channel: Channel,
        port: CallPort,
    ) {
        connections.add(channel)
        val encoder = CallerResponseEncoder()
        val decoder =
            StrictRequestDecoder(
                node.settings,
                node.memory,
                node.settings.maxHeaderBytes + port.addedHeaderBytes,
            )
        val meter = ConnectionMeter(node.memory) { decoder.undecodedBytes }
        val idle = IdleStateHandler(node.settings.callerIdleMillis, 0, 0, TimeUnit.MILLISECONDS)
        channel.pipeline().addLast(
            meter,
            idle,
            decoder,
            BodyCoalescer(),
            encoder,
            DownstreamHandler(node, decoder, encoder, meter, port),
        )
    }

    private companion object {
        val LOG = LogManager.getLogger(ProxyServer::class.java)
        const val BACKLOG = 1_024

        /** Connections accepted in one iteration of the event loop. Callers wait at most a second to be accepted. */
        const val ACCEPTS = 256
        const val SWEEP_MILLIS = 1_000L
        const val CLOSE_MILLIS = 1_000L

        /** Time for the last responses of a stop to be written. */
        const val CLOSE_CONNECTIONS_MILLIS = 200L
    }
}
