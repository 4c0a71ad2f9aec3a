package dev.baobabhollow.example

import dev.baobabhollow.calls.RoutingTable
import dev.baobabhollow.configuration.ConfigurationReplica
import dev.baobabhollow.configuration.RecordBatch
import dev.baobabhollow.membership.MembershipSettings
import dev.baobabhollow.membership.membership
import dev.baobabhollow.model.Change
import dev.baobabhollow.model.Endpoint
import dev.baobabhollow.model.FailureDomainId
import dev.baobabhollow.model.LogEntry
import dev.baobabhollow.model.LogRecord
import dev.baobabhollow.model.MemberConfig
import dev.baobabhollow.model.MemberId
import dev.baobabhollow.model.NO_OFFSET
import dev.baobabhollow.model.NodeId
import dev.baobabhollow.model.NodeRecord
import dev.baobabhollow.model.NodeStatus
import dev.baobabhollow.model.Patch
import dev.baobabhollow.model.PatchRecord
import dev.baobabhollow.model.ReleaseId
import dev.baobabhollow.model.RouteConfig
import dev.baobabhollow.model.RouteId
import dev.baobabhollow.model.ServiceConfig
import dev.baobabhollow.model.ServiceId
import dev.baobabhollow.model.TargetRecord
import dev.baobabhollow.model.WriterId
import java.util.random.RandomGenerator

private const val START_MILLIS = 1_000L
private const val SLOTS = 12
private const val CONNECTIONS = 100

/**
 * Uses the mesh as a library, without network or threads: the embedding program supplies log entries and membership.
 */
class EmbeddedMesh {
    private val sheets = ServiceId("sheets")
    private val release = ReleaseId("1")
    private val replica = ConfigurationReplica()
    private val fleet = membership(ownRecord(), MembershipSettings(), RandomGenerator.of("L64X128MixRandom"))

    /** Applies the only record of a log and returns the resulting routing table. */
    fun compileTable(): RoutingTable {
        replica.offer(RecordBatch(NO_OFFSET, listOf(firstEntry())))
        fleet.tick(START_MILLIS)
        return RoutingTable.compile(replica.state, fleet.view, heldMoves = emptySet())
    }

    private fun firstEntry(): LogEntry {
        val patch =
            Patch(
                listOf(
                    Change.PutMember(MemberId("pargo"), MemberConfig("Pargo Datos S.R.L.")),
                    Change.PutService(sheets, ServiceConfig(MemberId("pargo"), setOf(release), release)),
                    Change.PutRoute(RouteId("sheets"), RouteConfig(sheets, "/sheets")),
                ),
            )
        val record = LogRecord(WriterId("example"), 1, PatchRecord(0, "example", patch))
        return LogEntry(offset = 0, appendedAtMillis = START_MILLIS, record = record)
    }

    private fun ownRecord(): NodeRecord =
        NodeRecord(
            node = NodeId("node-1"),
            failureDomain = FailureDomainId("domain-1"),
            incarnation = 1,
            status = NodeStatus.ALIVE,
            controlEndpoint = Endpoint("127.0.0.1", 7001),
            peerCallEndpoint = Endpoint("127.0.0.1", 7002),
            operatorEndpoint = Endpoint("127.0.0.1", 7003),
            target = TargetRecord(sheets, release, SLOTS, CONNECTIONS),
        )
}

/** Prints the nodes that serve one path. */
fun main() {
    val table = EmbeddedMesh().compileTable()
    val route = table.match("/sheets/today")
    println(
        "version ${table.version}: /sheets/today -> ${route?.service?.id} on ${route?.service?.targets?.map {
            it.node
        }}",
    )
}
