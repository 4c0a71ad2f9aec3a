package dev.baobabhollow.proxy

import dev.baobabhollow.calls.RoutingTable
import dev.baobabhollow.membership.FleetView
import dev.baobabhollow.model.CallClass
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
import dev.baobabhollow.model.TenantConfig
import dev.baobabhollow.model.TenantId
import dev.baobabhollow.model.WarmUpConfig
import io.prometheus.metrics.model.registry.PrometheusRegistry

private val SERVICE = ServiceId("pedidos")
private val RELEASE = ReleaseId("1")

/** A free port on the loopback interface. */
internal val LOOPBACK_ANY = Endpoint("127.0.0.1", 0)

/**
 * An entry node without a target in domain `a` and one owner node for each of [targetPorts], on loopback in this
 * process. The owners are in [domains], which repeat.
 */
internal class TestMesh(
    private val targetPorts: List<Int>,
    private val slots: Int = 4,
    private val settings: ProxySettings = ProxySettings(LOOPBACK_ANY),
    private val timeoutMillis: Long = 10_000,
    private val claims: KeyClaims = NoKeyClaims,
    private val nowMillis: () -> Long = System::currentTimeMillis,
    private val entryNowMillis: () -> Long = nowMillis,
    private val domains: List<String> = listOf("a"),
    private val quotas: CallQuotas = NoCallQuotas,
    private val warmUp: WarmUpConfig? = null,
) : AutoCloseable {
    @Volatile
    var table: RoutingTable = RoutingTable.EMPTY

    /** Table of the owners if it differs from that of the entry node. */
    @Volatile
    var ownerTable: RoutingTable? = null
    private val entryRecord = record("entry", 0, null)
    private val target = TargetRecord(SERVICE, RELEASE, slots, connections = slots * 4)
    private val ownerRecords = targetPorts.indices.map { record("owner-$it", 0, target, domains[it % domains.size]) }
    val entry = server(entryRecord, null)
    val owners = ownerRecords.zip(targetPorts).map { (record, port) -> server(record, Endpoint("127.0.0.1", port)) }
    val port: Int get() = entry.callersPort

    init {
        table = compile()
        owners.forEach { it.forgetAbsent(table) }
    }

    /** Puts [tenants] in force as a newer version. Calls to the path `/public` need no key. */
    fun publish(tenants: Map<TenantId, TenantConfig>) {
        val mesh = config()
        val exempt = route("/public", isIdempotent = true, CallClass.LOOKUP).copy(isAuthExempt = true)
        table = compile(mesh.copy(routes = mesh.routes + (RouteId("public") to exempt), tenants = tenants), table)
    }

    /** Returns the table of this mesh while the targets in the [evacuated] domains get no calls. */
    fun compile(vararg evacuated: String): RoutingTable =
        compile(config(), evacuated = evacuated.map(::FailureDomainId).toSet())

    private fun compile(
        mesh: MeshConfig,
        previous: RoutingTable? = null,
        evacuated: Set<FailureDomainId> = emptySet(),
    ): RoutingTable {
        val nodes =
            ownerRecords.zip(owners).map { (record, owner) ->
                record.copy(peerCallEndpoint = at(owner.peerCallPort))
            }
        val view = FleetView(entryRecord.node, (nodes + entryRecord).associateBy { it.node }, 1)
        val version = (previous?.version ?: 0) + 1
        val state = ConfigurationState(offset = version, version = version, mesh = mesh, evacuatedDomains = evacuated)
        return RoutingTable.compile(state, view, emptySet(), previous)
    }

    private fun config() =
        MeshConfig(
            mapOf(MemberId("m") to MemberConfig("Member")),
            mapOf(SERVICE to service()),
            mapOf(
                RouteId("stock") to route("/stock", isIdempotent = true, CallClass.LOOKUP),
                RouteId("orders") to route("/orders", isIdempotent = false, CallClass.LOOKUP),
                RouteId("drawings") to route("/drawings", isIdempotent = true, CallClass.UPLOAD),
            ),
        )

    private fun service() =
        ServiceConfig(MemberId("m"), setOf(RELEASE), RELEASE, healthPath = "/health", warmUp = warmUp)

    private fun route(
        prefix: String,
        isIdempotent: Boolean,
        callClass: CallClass,
    ) = RouteConfig(SERVICE, prefix, isIdempotent, callClass, timeoutMillis)

    private fun record(
        name: String,
        port: Int,
        target: TargetRecord?,
        domain: String = "a",
    ) = NodeRecord(NodeId(name), FailureDomainId(domain), 1, NodeStatus.ALIVE, at(1), at(port), at(1), target)

    private fun at(port: Int) = Endpoint("127.0.0.1", port)

    private fun server(
        record: NodeRecord,
        target: Endpoint?,
    ): ProxyServer {
        val metrics = ProxyMetrics(PrometheusRegistry())
        val clock = if (target == null) entryNowMillis else nowMillis
        val tables = { if (target == null) table else ownerTable ?: table }
        return ProxyServer(settings, record, tables, target, clock, OutcomeRecorder(), claims, metrics, quotas)
    }

    override fun close() {
        entry.close()
        owners.forEach { it.close() }
    }
}
