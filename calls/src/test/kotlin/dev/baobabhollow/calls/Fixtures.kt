package dev.baobabhollow.calls

import dev.baobabhollow.membership.FleetView
import dev.baobabhollow.model.ConfigurationState
import dev.baobabhollow.model.Endpoint
import dev.baobabhollow.model.FailureDomainId
import dev.baobabhollow.model.MemberConfig
import dev.baobabhollow.model.MemberId
import dev.baobabhollow.model.MeshConfig
import dev.baobabhollow.model.MoveId
import dev.baobabhollow.model.MovePhase
import dev.baobabhollow.model.MovePlan
import dev.baobabhollow.model.MoveState
import dev.baobabhollow.model.NodeId
import dev.baobabhollow.model.NodeRecord
import dev.baobabhollow.model.NodeStatus
import dev.baobabhollow.model.ReleaseId
import dev.baobabhollow.model.RouteConfig
import dev.baobabhollow.model.RouteId
import dev.baobabhollow.model.ServiceConfig
import dev.baobabhollow.model.ServiceId
import dev.baobabhollow.model.TargetRecord
import dev.baobabhollow.model.TargetStatus

internal val VITRINA = ServiceId("vitrina")
internal val OLD = ReleaseId("1")
internal val NEW = ReleaseId("2")
internal val MOVE = MoveId("move")

internal fun target(
    name: String,
    domain: String = "a",
    release: ReleaseId = OLD,
    incarnation: Long = 1,
) = TargetEndpoint(
    NodeId(name),
    FailureDomainId(domain),
    incarnation,
    Endpoint("127.0.0.1", 1),
    VITRINA,
    release,
    slots = 10,
)

internal fun node(
    name: String,
    domain: String = "a",
    release: ReleaseId = OLD,
    status: NodeStatus = NodeStatus.ALIVE,
    targetStatus: TargetStatus = TargetStatus.SERVING,
    service: ServiceId = VITRINA,
): NodeRecord {
    val at = Endpoint("127.0.0.1", 1)
    val target = TargetRecord(service, release, slots = 10, connections = 20, targetStatus)
    return NodeRecord(NodeId(name), FailureDomainId(domain), 1, status, at, at, at, target)
}

internal fun view(nodes: List<NodeRecord>) = FleetView(nodes.first().node, nodes.associateBy { it.node }, 1)

internal fun state(
    sharePermille: Int? = null,
    phase: MovePhase = MovePhase.RAMPING,
    routes: Map<String, ServiceId> = mapOf("/vitrina" to VITRINA),
): ConfigurationState {
    val service = ServiceConfig(MemberId("m"), setOf(OLD, NEW), OLD)
    val routeConfigs =
        routes.entries.withIndex().associate { (i, it) ->
            RouteId("r$i") to RouteConfig(it.value, it.key)
        }
    val mesh = MeshConfig(mapOf(MemberId("m") to MemberConfig("M")), mapOf(VITRINA to service), routeConfigs)
    val plan = MovePlan(VITRINA, OLD, NEW, 0, 10, 20)
    val moves = sharePermille?.let { mapOf(MOVE to MoveState(plan, "o", phase = phase, sharePermille = it)) }.orEmpty()
    return ConfigurationState(
        offset = 5,
        version = 3,
        mesh = mesh,
        currentReleases = mapOf(VITRINA to OLD),
        moves = moves,
    )
}
