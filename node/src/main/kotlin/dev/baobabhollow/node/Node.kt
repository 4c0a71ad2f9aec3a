package dev.baobabhollow.node

import dev.baobabhollow.calls.RoutingTable
import dev.baobabhollow.membership.FleetView
import dev.baobabhollow.model.ConfigurationState
import dev.baobabhollow.model.FailureDomainId
import dev.baobabhollow.model.MonotonicClock
import dev.baobabhollow.model.MoveId
import dev.baobabhollow.model.NodeId
import dev.baobabhollow.model.WriterId
import dev.baobabhollow.peers.ControlCallbacks
import dev.baobabhollow.peers.ControlPlane
import dev.baobabhollow.peers.ControlPlaneSettings
import dev.baobabhollow.platformlog.HttpPlatformLog
import dev.baobabhollow.proxy.NoCallQuotas
import dev.baobabhollow.proxy.NoKeyClaims
import dev.baobabhollow.proxy.OutcomeRecorder
import dev.baobabhollow.proxy.ProxyMetrics
import dev.baobabhollow.proxy.ProxyServer
import dev.baobabhollow.proxy.ProxySettings
import dev.baobabhollow.proxy.claims.LogClaims
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import io.prometheus.metrics.model.registry.PrometheusRegistry
import org.apache.logging.log4j.Level
import java.util.SplittableRandom
import java.util.concurrent.CompletableFuture
import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicReference

/** One node of the mesh: proxy, control plane and operator port. An instance can be started and stopped once. */
class Node(
    private val settings: NodeSettings,
    private val nowMillis: () -> Long = MonotonicClock(),
    registry: PrometheusRegistry = PrometheusRegistry(),
    private val adapter: PlatformAdapter = OwnPlatform(settings.platformLog, nowMillis),
) {
    private val upSinceMillis = nowMillis()
    private val self = selfRecord(settings, upSinceMillis)
    private val table = AtomicReference(RoutingTable.EMPTY)
    private val verdicts = VerdictRegistry()
    private val versionTimes = VersionTimes()
    private val burn = BurnCounters()
    private val faults: FaultInjection = FaultInjection { applyFaults(it) }
    private val tableLock = Any()
    private val changeLog = ChangeLog()
    private val lagLog = LagLog()
    private val metrics = NodeMetrics(registry)
    private val control = controlPlane(registry)
    private val logClaims =
        if (settings.platform == PlatformKind.OWN) {
            LogClaims(adapter.log, WriterId("${settings.node}/$upSinceMillis/claims"), nowMillis = nowMillis)
        } else {
            null
        }
    private val keyClaims = logClaims?.let { NodeKeyClaims(self, ::incarnation, it, nowMillis) } ?: NoKeyClaims
    private val healthMonitor = settings.target?.let { TargetHealthMonitor(it, control::announceTarget) }
    private val scheduler =
        Executors.newSingleThreadScheduledExecutor { Thread(it, "duties").apply { isDaemon = true } }
    private val quotas: NodeQuotas? =
        settings.quotas?.let { quotas ->
            val after = { millis: Long, task: () -> Unit -> scheduler.schedule(task, millis, TimeUnit.MILLISECONDS) }
            NodeQuotas(quotaSettings(quotas), self, nowMillis, control::sendQuotaMessage, after, ::dropsControl)
        }
    private val proxyMetrics = ProxyMetrics(registry)
    private val operatorGroup = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
    private val operators =
        OperatorServer(
            settings.addresses.operator,
            settings.limits.operatorBodyBytes,
            operatorGroup,
            operatorRoutes(registry)::handle,
        )
    private val publisher = TargetPublisher(self, control) { proxy }
    private val announcements =
        settings.announcedTarget?.let {
            AnnouncementHandler(it, adapter, nowMillis, publisher::publish, ::reportWarmUp, ::confirmTarget)
        }
    private val targetDiscovery =
        announcements?.let {
            TargetDiscovery(checkNotNull(settings.announcedTarget).endpoint, adapter, it, nowMillis, operatorGroup)
        }
    private val platformServers = platformServers()
    private val nodeDiscovery =
        adapter.directory?.let {
            NodeDiscovery(it, settings.node, settings.addresses.control, ::liveNodes, control::join, control::era)
        }

    init {
        metrics.gauge("ready", "1 if the node lacks nothing to take calls") { 1 - minOf(1, snapshot().lacking.size) }
        metrics.gauge("calls_in_flight", "Calls in flight on both ports") { proxy?.inFlight ?: 0 }
        metrics.target { proxy }
        metrics.gauge("held_bytes", "Memory that calls and connections hold, in bytes") { proxy?.heldBytes ?: 0L }
        metrics.gauge("open_connections", "Open connections of callers and entry nodes") { proxy?.openConnections ?: 0 }
        logClaims?.let { metrics.claims(it.counters) }
        quotas?.let(metrics::quotas)
    }

    @Volatile
    private var proxy: ProxyServer? = null

    @Volatile
    private var stopping = false

    @Volatile
    private var limits = settings.limits

    /** Binds all ports and starts to serve. Throws if a port is in use. */
    fun start() {
        operators.start()
        proxy =
            ProxyServer(
                settings = proxySettings(settings, adapter.protocol),
                self = self,
                tables = table::get,
                targetEndpoint = settings.target?.endpoint ?: settings.announcedTarget?.endpoint,
                nowMillis = nowMillis,
                recorder = OutcomeRecorder(),
                claims = keyClaims,
                metrics = proxyMetrics,
                quotas = quotas ?: NoCallQuotas,
            )
        control.start()
        platformServers.forEach { it.start() }
        nodeDiscovery?.start()
        healthMonitor?.start()
        val publishMillis = if (settings.platform == PlatformKind.OWN) PUBLISH_MILLIS else FAST_PUBLISH_MILLIS
        schedule(publishMillis, "count_failed", ::publishCounts)
        schedule(LAG_SAMPLE_MILLIS, "pressure_unknown", ::sampleLag)
        EventLog.write(
            "node_started",
            "failureDomain" to settings.failureDomain,
            "callers" to settings.addresses.callers,
        )
    }

    /**
     * Applies the [NodeSettings.limits] of [next] and logs whether other settings differ, since those need a restart.
     * Calls are not interrupted. May be called before [start].
     */
    fun reload(next: NodeSettings) {
        val needsRestart = next.copy(limits = settings.limits) != settings
        limits = next.limits
        EventLog.write("settings_reloaded", "limits" to next.limits, "needsRestart" to needsRestart)
    }

    /**
     * Announces that the node leaves, refuses new calls as not run, waits for the calls in flight and releases all
     * resources. Returns the number of calls that were aborted because they had not completed by the drain limit.
     */
    fun stop(): Int {
        stopping = true
        val stopTimes = StopTimes.of(limits, nowMillis())
        EventLog.write("node_stopping", "inFlight" to (proxy?.inFlight ?: 0))
        healthMonitor?.close()
        nodeDiscovery?.close()
        proxy?.announceClose(stopTimes.drainUntilMillis)
        serveUntil(stopTimes.serveUntilMillis)
        val isAnnounced = control.leave(stopTimes.announceUntilMillis)
        val cutOff = proxy?.drain(stopTimes.drainUntilMillis) ?: 0
        scheduler.shutdownNow()
        proxy?.close()
        control.close()
        logClaims?.close()
        adapter.close()
        platformServers.forEach { it.close() }
        operators.close()
        operatorGroup.shutdownGracefully(0, CLOSE_MILLIS, TimeUnit.MILLISECONDS).awaitUninterruptibly(CLOSE_MILLIS)
        EventLog.write("node_stopped", "announced" to isAnnounced, "callsCutOff" to cutOff)
        return cutOff
    }

    /**
     * Keeps serving new calls until callers have detected that the node is not ready. Other nodes are informed only
     * after that, because no other node can reach the target on this VM.
     */
    private fun serveUntil(untilMillis: Long) {
        val remainingMillis = untilMillis - nowMillis()
        if (remainingMillis > 0) Thread.sleep(remainingMillis)
    }

    private fun platformServers(): List<OperatorServer> {
        val readiness =
            settings.readiness?.let { endpoint ->
                OperatorServer(endpoint, MAX_ANNOUNCEMENT_BYTES, operatorGroup) { request ->
                    CompletableFuture.completedFuture(handleReadiness(request))
                }
            }
        val targets =
            announcements?.let { handler ->
                val endpoint = checkNotNull(settings.announcedTarget).announcements
                OperatorServer(endpoint, MAX_ANNOUNCEMENT_BYTES, operatorGroup) { request ->
                    handler.handle(request)
                }
            }
        return listOfNotNull(readiness, targets)
    }

    private fun handleReadiness(request: OperatorRequest): OperatorResponse {
        if (request.path != adapter.readinessPath) return OperatorResponse(NOT_FOUND, errorBody("no such path"))
        return readinessResponse(snapshot().lacking)
    }

    private fun liveNodes(): Set<NodeId> = control.view.live().mapTo(HashSet()) { it.node }

    private fun reportWarmUp(
        born: Long?,
        leftMillis: Long?,
    ) {
        proxy?.reportWarmUp(born, leftMillis)
    }

    private fun confirmTarget() {
        targetDiscovery?.probeSoon()
    }

    private fun incarnation(): Long = control.view.nodes[settings.node]?.incarnation ?: self.incarnation

    private fun controlPlane(registry: PrometheusRegistry): ControlPlane =
        ControlPlane(
            settings = controlSettings(settings),
            self = self,
            log = adapter.log,
            clock = nowMillis,
            random = SplittableRandom(),
            registry = registry,
            callbacks =
                ControlCallbacks(
                    judgeFor = { move, _ -> MemberJudge(move, { control.state }, settings.members) },
                    onChange = ::applyChange,
                    dropsControl = ::dropsControl,
                    onQuotaMessage = { message, from -> quotas?.receive(message, from) },
                    onEarlierWithdrawal = { announcements?.onEarlierWithdrawal(it) },
                ),
        )

    private fun dropsControl(domain: FailureDomainId): Boolean = domain in faults.faults.dropControl

    private fun operatorRoutes(registry: PrometheusRegistry) =
        OperatorRoutes(
            settings = settings,
            snapshot = ::snapshot,
            verdicts = verdicts,
            versionTimes = versionTimes,
            burn = burn,
            registry = registry,
            applyFaults = if (settings.faultInjection) faults::apply else null,
            nowMillis = nowMillis,
        )

    private fun snapshot(): NodeSnapshot {
        val lacking = control.readiness.lacking + if (stopping) listOf("the node is stopping") else emptyList()
        return NodeSnapshot(control.state, control.view, control.heldMoves, lacking, upSinceMillis)
    }

    /** Replaces the routing table before the version is reported as in force. Called on the control thread. */
    private fun applyChange(
        state: ConfigurationState,
        view: FleetView,
        held: Set<MoveId>,
    ) = synchronized(tableLock) {
        val before = table.get()
        val next = RoutingTable.compile(state, faults.reachable(view), held, before)
        table.set(next)
        versionTimes.record(state.version, nowMillis())
        verdicts.update(state)
        quotas?.update(state.version, state.mesh.tenants, view)
        proxy?.forgetAbsent(next)
        // An announced target is known here before the view contains it, and the view must not restore the previous
        // target.
        if (settings.announcedTarget == null) view.nodes[view.self]?.let { proxy?.update(it) }
        changeLog.logChanges(state, view, held)
        discoverTarget(state)
    }

    private fun discoverTarget(state: ConfigurationState) {
        val service = state.mesh.services[settings.announcedTarget?.service] ?: return
        service.healthPath?.let { targetDiscovery?.start(it) }
    }

    /** Reads the state inside the lock, so that the table is never replaced by an older one. */
    private fun applyFaults(changed: InjectedFaults) {
        synchronized(tableLock) {
            EventLog.write("faults_changed", "faults" to changed)
            applyChange(control.state, control.view, control.heldMoves)
        }
    }

    /**
     * Runs [task] every [periodMillis], and logs the event [failed] if it throws, because an uncaught exception would
     * end the schedule.
     */
    private fun schedule(
        periodMillis: Long,
        failed: String,
        task: (ProxyServer) -> Unit,
    ) {
        val guarded =
            Runnable {
                try {
                    proxy?.let(task)
                } catch (e: RuntimeException) {
                    EventLog.write(failed, level = Level.ERROR, cause = e)
                }
            }
        scheduler.scheduleWithFixedDelay(guarded, periodMillis, periodMillis, TimeUnit.MILLISECONDS)
    }

    private fun publishCounts(server: ProxyServer) {
        server.drainOutcomes(nowMillis()).forEach { summary ->
            healthMonitor?.observe(summary)
            control.observe(summary)
        }
        burn.sample(server.burnCounts(), nowMillis())
        announcements?.checkSilence()
        announcements?.checkWarmth(server.coldPerSecond)
    }

    private fun sampleLag(server: ProxyServer) {
        val sample = LagSample(server.takeLongestLag(), control.takeThreadTimes(), server.inFlight)
        metrics.count(sample)
        lagLog.log(sample)
    }

    private companion object {
        /** Limits [LagLog] to one line per second. */
        const val LAG_SAMPLE_MILLIS = 1_000L

        /** Half of the period at which the control plane forwards summaries. */
        const val PUBLISH_MILLIS = 500L

        /** Largest age of the counts for decisions on moves that must complete within seconds. */
        const val FAST_PUBLISH_MILLIS = 200L
        const val NOT_FOUND = 404

        /** Announcements have a few hundred bytes, and readiness probes have no body. */
        const val MAX_ANNOUNCEMENT_BYTES = 16_384

        /** Timeout for closing the connections of operators. */
        const val CLOSE_MILLIS = 500L
    }
}
