package dev.baobabhollow.node

import dev.baobabhollow.calls.RoutingTable
import dev.baobabhollow.membership.FleetView
import dev.baobabhollow.model.ConfigurationState
import dev.baobabhollow.model.MoveId
import dev.baobabhollow.model.NodeRecord
import dev.baobabhollow.model.NodeStatus
import dev.baobabhollow.model.TargetRecord
import dev.baobabhollow.model.WriterId
import dev.baobabhollow.peers.ControlCallbacks
import dev.baobabhollow.peers.ControlPlane
import dev.baobabhollow.peers.ControlPlaneSettings
import dev.baobabhollow.platformlog.HttpPlatformLog
import dev.baobabhollow.proxy.OutcomeRecorder
import dev.baobabhollow.proxy.ProxyMetrics
import dev.baobabhollow.proxy.ProxyServer
import dev.baobabhollow.proxy.ProxySettings
import dev.baobabhollow.proxy.claims.LogClaims
import io.prometheus.metrics.model.registry.PrometheusRegistry
import org.apache.logging.log4j.Level
import java.util.SplittableRandom
import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicReference

/** Assembles and runs one node. Start it once and stop it once. */
class Node(
    private val settings: NodeSettings,
    private val nowMillis: () -> Long = System::currentTimeMillis,
    registry: PrometheusRegistry = PrometheusRegistry(),
) {
    private val upSinceMillis = nowMillis()
    private val self = selfRecord(settings, upSinceMillis)
    private val table = AtomicReference(RoutingTable.EMPTY)
    private val verdicts = VerdictBook()
    private val versionTimes = VersionTimes()
    private val burn = BurnCounters()
    private val faults: FaultInjection = FaultInjection { takeFaults(it) }
    private val tableLock = Any()
    private val log = HttpPlatformLog(settings.platformLog)
    private val control = controlPlane(registry)
    private val logClaims = LogClaims(log, WriterId("${settings.node}/$upSinceMillis/claims"), nowMillis = nowMillis)
    private val keyClaims = NodeKeyClaims(self, ::incarnation, logClaims, upSinceMillis)
    private val targetDuty = settings.target?.let { TargetDuty(it, control::announceTarget) }
    private val duties = Executors.newSingleThreadScheduledExecutor { Thread(it, "duties").apply { isDaemon = true } }
    private val proxyMetrics = ProxyMetrics(registry)
    private val operators =
        OperatorServer(
            settings.addresses.operator,
            settings.limits.operatorBodyBytes,
            operatorRoutes(registry)::handle,
        )

    init {
        val metrics = NodeMetrics(registry)
        metrics.gauge("ready", "1 if the node lacks nothing to take calls") { if (facts().lacking.isEmpty()) 1 else 0 }
        metrics.gauge("calls_in_flight", "Calls in flight on both ports") { proxy?.inFlight ?: 0 }
        metrics.gauge("target_load_permille", "Load of the own target in permille of its slots") {
            proxy?.loadPermille
                ?: 0
        }
        metrics.claims(logClaims.counters)
    }

    @Volatile
    private var proxy: ProxyServer? = null

    @Volatile
    private var stopping = false

    /** Binds all ports and starts to serve. Throws when a port is taken. */
    fun start() {
        operators.start()
        proxy =
            ProxyServer(
                settings = ProxySettings(settings.addresses.callers, eventLoops = settings.limits.eventLoopThreads),
                self = self,
                tables = table::get,
                targetEndpoint = settings.target?.endpoint,
                nowMillis = nowMillis,
                recorder = OutcomeRecorder(),
                claims = keyClaims,
                metrics = proxyMetrics,
            )
        control.start()
        targetDuty?.start()
        duties.scheduleWithFixedDelay(::passOnCounts, COUNT_MILLIS, COUNT_MILLIS, TimeUnit.MILLISECONDS)
        EventLog.write(
            "node_started",
            "failureDomain" to settings.failureDomain,
            "callers" to settings.addresses.callers,
        )
    }

    /**
     * Announces that the node leaves, refuses new calls as not run, waits for the calls in flight and closes everything.
     * Returns the number of calls that had not ended by the drain limit and were cut off.
     */
    fun stop(): Int {
        stopping = true
        EventLog.write("node_stopping", "inFlight" to (proxy?.inFlight ?: 0))
        targetDuty?.close()
        val isAnnounced = control.leave(nowMillis() + LEAVE_MILLIS)
        val left = proxy?.drain(nowMillis() + settings.limits.drainMillis) ?: 0
        duties.shutdownNow()
        proxy?.close()
        control.close()
        logClaims.close()
        log.close()
        operators.close()
        EventLog.write("node_stopped", "announced" to isAnnounced, "callsCutOff" to left)
        return left
    }

    private fun incarnation(): Long = control.view.nodes[settings.node]?.incarnation ?: self.incarnation

    private fun controlPlane(registry: PrometheusRegistry): ControlPlane =
        ControlPlane(
            settings = ControlPlaneSettings(seeds = settings.seeds),
            self = self,
            log = log,
            clock = nowMillis,
            random = SplittableRandom(),
            registry = registry,
            callbacks =
                ControlCallbacks(
                    judgeFor = { move, _ -> MemberJudge(move, { control.state }, settings.members) },
                    onChange = ::takeChange,
                    dropsControl = { it in faults.faults.dropControl },
                ),
        )

    private fun operatorRoutes(registry: PrometheusRegistry) =
        OperatorRoutes(
            settings = settings,
            facts = ::facts,
            verdicts = verdicts,
            versionTimes = versionTimes,
            burn = burn,
            registry = registry,
            applyFaults = if (settings.faultInjection) faults::apply else null,
            nowMillis = nowMillis,
        )

    private fun facts(): NodeFacts {
        val lacking = control.readiness.lacking + if (stopping) listOf("the node is stopping") else emptyList()
        return NodeFacts(control.state, control.view, control.heldMoves, lacking, upSinceMillis)
    }

    /** Swaps the routing table before the version counts as in force. Called on the control thread. */
    private fun takeChange(
        state: ConfigurationState,
        view: FleetView,
        held: Set<MoveId>,
    ) = synchronized(tableLock) {
        val before = table.get()
        val next = RoutingTable.compile(state, faults.reachable(view), held)
        table.set(next)
        versionTimes.note(state.version, nowMillis())
        verdicts.update(state)
        proxy?.forgetAbsent(next)
        view.nodes[view.self]?.let { proxy?.update(it) }
        if (next.version != before.version) EventLog.write("version_in_force", "version" to next.version)
    }

    /** Reads the state inside the lock, so that the table never goes back to an earlier one. */
    private fun takeFaults(changed: InjectedFaults) {
        synchronized(tableLock) {
            EventLog.write("faults_changed", "faults" to changed)
            takeChange(control.state, control.view, control.heldMoves)
        }
    }

    private fun passOnCounts() {
        val server = proxy ?: return
        try {
            server.drainOutcomes(nowMillis()).forEach { summary ->
                targetDuty?.observe(summary)
                control.observe(summary)
            }
            burn.sample(server.burnCounts(), nowMillis())
        } catch (e: RuntimeException) {
            // An exception would end the schedule, and the move leads would get no more outcomes of this target.
            EventLog.write("count_failed", level = Level.ERROR, cause = e)
        }
    }

    private companion object {
        /** Half of the period in which the control plane sends summaries on. */
        const val COUNT_MILLIS = 500L

        /** Bound within which a leaving target gets no new work. */
        const val LEAVE_MILLIS = 3_000L

        /** The start time serves as incarnation, because a restarted process remembers nothing. */
        fun selfRecord(
            settings: NodeSettings,
            startMillis: Long,
        ) = NodeRecord(
            node = settings.node,
            failureDomain = settings.failureDomain,
            incarnation = startMillis,
            status = NodeStatus.ALIVE,
            controlEndpoint = settings.addresses.control,
            peerCallEndpoint = settings.addresses.peerCalls,
            operatorEndpoint = settings.addresses.operator,
            target = settings.target?.let { TargetRecord(it.service, it.release, it.slots, it.connections) },
        )
    }
}
