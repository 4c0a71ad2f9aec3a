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
import io.netty.channel.nio.NioIoHandler
import io.netty.channel.socket.nio.NioServerSocketChannel
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.timeout.IdleStateHandler
import io.netty.util.concurrent.DefaultThreadFactory
import org.apache.logging.log4j.LogManager
import java.net.InetSocketAddress
import java.util.concurrent.TimeUnit

/**
 * Serves callers and the calls of other nodes for the own target, from construction until [close].
 *
 * [self] announces the peer call port and the target, [tables] returns the current routing table, and [targetEndpoint] is
 * the address of the own target, if there is one. [nowMillis] is the clock in epoch milliseconds. Throws
 * [java.net.BindException] if a port is taken.
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
) : AutoCloseable {
    private val node = NodeCore(settings, self, tables, targetEndpoint, nowMillis, recorder, claims, metrics)
    private val group =
        MultiThreadIoEventLoopGroup(settings.eventLoops, DefaultThreadFactory("proxy"), NioIoHandler.newFactory())
    private val callers = listen(settings.callersEndpoint, settings.protocol, EntryPort(node)::open)
    private val peers = listen(self.peerCallEndpoint, MeshProtocol, OwnerPort(node)::open)

    /** Port on which callers are served. */
    val callersPort: Int get() = (callers.localAddress() as InetSocketAddress).port

    /** Port on which calls of entry nodes are served. */
    val peerCallPort: Int get() = (peers.localAddress() as InetSocketAddress).port

    /** Number of calls in flight on both ports. */
    val inFlight: Int get() = node.inFlight

    /** Calls that hold a slot of the own target or wait for one, in permille of its slots. */
    val loadPermille: Int get() = node.admission.loadPermille

    /** Returns the longest time in milliseconds by which an event loop was late since the last call. */
    fun takeLongestLag(): Long = group.maxOf { node.pools(it as EventLoop).lag.takeLongest() }

    init {
        group.forEach { loop ->
            val pools = node.pools(loop as EventLoop)
            pools.lag.start(loop)
            loop.scheduleWithFixedDelay({ pools.sweep() }, SWEEP_MILLIS, SWEEP_MILLIS, TimeUnit.MILLISECONDS)
        }
        LOG.info("event=proxy_started callers_port={} peer_call_port={}", callersPort, peerCallPort)
    }

    /** Takes over a changed record of this node: slots, connections, release and status of its target. */
    fun update(self: NodeRecord) = node.update(self)

    /** Forgets what was observed of targets and services that [table] does not hold. Call it after a change of the table. */
    fun forgetAbsent(table: RoutingTable) = node.forgetAbsent(table)

    /** Returns the counts of calls to the own target since the last call, by route and release. */
    fun drainOutcomes(nowMillis: Long): List<OutcomeSummary> = recorder.drainOutcomes(node.self, nowMillis)

    /** Returns the counts of calls as callers saw them since the start. */
    fun burnCounts(): List<BurnCount> = recorder.burnCounts()

    /** Lets callers end their connections: each further answer says that its connection closes. Calls are still served. */
    fun announceClose() = node.close()

    /**
     * Refuses new calls as not run, and blocks until the calls in flight have ended or [deadlineMillis] (epoch) has passed.
     * Returns the number of calls that are left. Must not be called on an event loop.
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
        group.shutdownGracefully(0, CLOSE_MILLIS, TimeUnit.MILLISECONDS).await(CLOSE_MILLIS * 2, TimeUnit.MILLISECONDS)
    }

    private fun listen(
        endpoint: Endpoint,
        protocol: CallProtocol,
        open: (DownstreamHandler, HttpRequest) -> Exchange,
    ): Channel =
        ServerBootstrap()
            .group(group)
            .channel(NioServerSocketChannel::class.java)
            .option(ChannelOption.SO_BACKLOG, BACKLOG)
            .option(ChannelOption.SO_REUSEADDR, true)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childHandler(
                object : ChannelInitializer<Channel>() {
                    override fun initChannel(channel: Channel) = prepare(channel, protocol, open)
                },
            ).bind(InetSocketAddress(endpoint.host, endpoint.port))
            .syncUninterruptibly()
            .channel()

    private fun prepare(
        channel: Channel,
        protocol: CallProtocol,
        open: (DownstreamHandler, HttpRequest) -> Exchange,
    ) {
        val encoder = CallerResponseEncoder()
        val idle = IdleStateHandler(node.settings.callerIdleMillis, 0, 0, TimeUnit.MILLISECONDS)
        channel.pipeline().addLast(
            idle,
            StrictRequestDecoder(node.settings),
            encoder,
            DownstreamHandler(node, encoder, protocol, open),
        )
    }

    private companion object {
        val LOG = LogManager.getLogger(ProxyServer::class.java)
        const val BACKLOG = 1_024
        const val SWEEP_MILLIS = 1_000L
        const val CLOSE_MILLIS = 1_000L
    }
}
