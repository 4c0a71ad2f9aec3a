package dev.baobabhollow.bench.calls

import dev.baobabhollow.calls.RoutingTable
import dev.baobabhollow.membership.FleetView
import dev.baobabhollow.model.ConfigurationState
import dev.baobabhollow.model.Endpoint
import dev.baobabhollow.model.FailureDomainId
import dev.baobabhollow.model.MemberConfig
import dev.baobabhollow.model.MemberId
import dev.baobabhollow.model.MeshConfig
import dev.baobabhollow.model.NodeId
import dev.baobabhollow.model.NodeRecord
import dev.baobabhollow.model.NodeStatus
import dev.baobabhollow.model.ReleaseId
import dev.baobabhollow.model.RouteConfig
import dev.baobabhollow.model.RouteId
import dev.baobabhollow.model.ServiceConfig
import dev.baobabhollow.model.ServiceId
import dev.baobabhollow.model.TargetRecord
import dev.baobabhollow.proxy.NoKeyClaims
import dev.baobabhollow.proxy.OutcomeRecorder
import dev.baobabhollow.proxy.ProxyMetrics
import dev.baobabhollow.proxy.ProxyServer
import dev.baobabhollow.proxy.ProxySettings
import io.prometheus.metrics.model.registry.PrometheusRegistry

/** Runs in this process one owner node for each of [targets] and, if [hasEntry], an entry node without a target. */
internal class BenchMesh(
    targets: List<BenchTarget>,
    private val options: CallsBenchOptions,
    hasEntry: Boolean,
) : AutoCloseable {
    @Volatile
    private var table = RoutingTable.EMPTY
    private val target = TargetRecord(SERVICE, RELEASE, options.slots, options.slots * CONNECTIONS_PER_SLOT)
    private val owners =
        targets.mapIndexed { i, it ->
            val record = record("owner-$i", target)
            record to createServer(record, Endpoint(LOOPBACK, it.port))
        }
    private val entry = if (hasEntry) createServer(record("entry", null), null) else null

    /** Caller port of the entry node. */
    val entryPort: Int get() = checkNotNull(entry) { "this mesh was created without an entry node" }.callersPort

    /** Caller ports of the owner nodes. */
    val ownerPorts: List<Int> get() = owners.map { it.second.callersPort }

    init {
        val records =
            owners.map { (record, server) ->
                record.copy(peerCallEndpoint = Endpoint(LOOPBACK, server.peerCallPort))
            }
        val entryRecord = record("entry", null)
        val view = FleetView(entryRecord.node, (records + entryRecord).associateBy { it.node }, 1)
        table = RoutingTable.compile(ConfigurationState(offset = 0, version = 1, mesh = config()), view, emptySet())
    }

    private fun config() =
        MeshConfig(
            mapOf(MEMBER to MemberConfig("bench")),
            mapOf(SERVICE to ServiceConfig(MEMBER, setOf(RELEASE), RELEASE)),
            mapOf(
                RouteId("bench") to RouteConfig(SERVICE, "/bench", timeoutMillis = options.deadlineMillis),
                RouteId("reads") to
                    RouteConfig(SERVICE, "/reads", idempotent = true, timeoutMillis = READ_DEADLINE_MILLIS),
            ),
        )

    private fun record(
        name: String,
        target: TargetRecord?,
    ): NodeRecord {
        val placeholder = Endpoint(LOOPBACK, 0)
        return NodeRecord(
            NodeId(name),
            FailureDomainId("a"),
            1,
            NodeStatus.ALIVE,
            placeholder,
            placeholder,
            placeholder,
            target,
        )
    }

    private fun createServer(
        record: NodeRecord,
        target: Endpoint?,
    ): ProxyServer {
        val settings = ProxySettings(Endpoint(LOOPBACK, 0), eventLoops = options.eventLoopsPerNode)
        val metrics = ProxyMetrics(PrometheusRegistry())
        val clock = System::currentTimeMillis
        return ProxyServer(settings, record, { table }, target, clock, OutcomeRecorder(), NoKeyClaims, metrics)
    }

    override fun close() {
        entry?.close()
        owners.forEach { it.second.close() }
    }

    private companion object {
        const val LOOPBACK = "127.0.0.1"
        const val CONNECTIONS_PER_SLOT = 8
        const val READ_DEADLINE_MILLIS = 60_000L
        val MEMBER = MemberId("bench")
        val SERVICE = ServiceId("bench")
        val RELEASE = ReleaseId("1")
    }
}
