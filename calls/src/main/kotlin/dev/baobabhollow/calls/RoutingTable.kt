package dev.baobabhollow.calls

import dev.baobabhollow.membership.FleetView
import dev.baobabhollow.model.ConfigurationState
import dev.baobabhollow.model.Endpoint
import dev.baobabhollow.model.FULL_SHARE_PERMILLE
import dev.baobabhollow.model.FailureDomainId
import dev.baobabhollow.model.MoveId
import dev.baobabhollow.model.NO_OFFSET
import dev.baobabhollow.model.NodeId
import dev.baobabhollow.model.NodeStatus
import dev.baobabhollow.model.ReleaseId
import dev.baobabhollow.model.RouteConfig
import dev.baobabhollow.model.RouteId
import dev.baobabhollow.model.ServiceConfig
import dev.baobabhollow.model.ServiceId
import dev.baobabhollow.model.TargetStatus

/**
 * Holds what one node needs to forward calls, compiled as a whole from one configuration state and one fleet view. A route
 * only refers to a service and targets of the same table. Immutable.
 */
class RoutingTable private constructor(
    /** Version of the configuration. */
    val version: Long,
    /** Revision of the fleet view. */
    val revision: Long,
    /** False until the node holds a configuration from the log or a peer. */
    val isReady: Boolean,
    /** Services by identifier. */
    val services: Map<ServiceId, RoutedService>,
    /** Routes by identifier. */
    val routes: Map<RouteId, Route>,
    private val targets: Map<NodeId, TargetEndpoint>,
) {
    private val matcher = PrefixMatcher(routes.values.associateBy { it.config.pathPrefix })

    /** Nodes whose targets the table holds. */
    val nodes: Set<NodeId> get() = targets.keys

    /** Returns the route with the longest prefix of [path], or null. */
    fun match(path: String): Route? = matcher.match(path)

    /** Returns the target beside [node] if the table holds it. */
    fun target(node: NodeId): TargetEndpoint? = targets[node]

    /** Compiles tables. */
    companion object {
        /** Routes nothing and is not ready. */
        val EMPTY = RoutingTable(0, 0, false, emptyMap(), emptyMap(), emptyMap())

        /**
         * Compiles a table from [state] and the targets in [view] that take new calls. The new release of a move in
         * [heldMoves] gets no share.
         */
        fun compile(
            state: ConfigurationState,
            view: FleetView,
            heldMoves: Set<MoveId>,
        ): RoutingTable {
            val selfDomain = view.nodes[view.self]?.failureDomain
            val targets = servingTargets(state, view)
            val byRelease = targets.groupBy { it.service to it.release }
            val moves =
                state.moves.entries
                    .filter { !it.value.phase.isFinal }
                    .associateBy { it.value.plan.service }
            val services =
                state.mesh.services.mapValues { (id, config) ->
                    val current = state.currentReleases[id] ?: config.initialRelease
                    val (moveId, move) = moves[id]?.let { it.key to it.value } ?: (null to null)
                    RoutedService(
                        id = id,
                        config = config,
                        current = releaseTargets(current, byRelease[id to current], selfDomain),
                        next = move?.let { releaseTargets(it.plan.to, byRelease[id to it.plan.to], selfDomain) },
                        nextPermille = if (move == null || moveId in heldMoves) 0 else move.sharePermille,
                    )
                }
            val routes =
                state.mesh.routes
                    .mapNotNull { (id, config) -> services[config.service]?.let { id to Route(id, config, it) } }
                    .toMap()
            val isReady = state.offset > NO_OFFSET
            return RoutingTable(
                state.version,
                view.revision,
                isReady,
                services,
                routes,
                targets.associateBy { it.node },
            )
        }

        private fun servingTargets(
            state: ConfigurationState,
            view: FleetView,
        ): List<TargetEndpoint> =
            view.nodes.values.mapNotNull { record ->
                val target = record.target ?: return@mapNotNull null
                val isLive = record.status == NodeStatus.ALIVE || record.status == NodeStatus.SUSPECT
                if (!isLive || target.status != TargetStatus.SERVING) return@mapNotNull null
                if (target.service !in state.mesh.services) return@mapNotNull null
                TargetEndpoint(
                    record.node,
                    record.failureDomain,
                    record.incarnation,
                    record.peerCallEndpoint,
                    target.service,
                    target.release,
                    target.slots,
                )
            }

        private fun releaseTargets(
            release: ReleaseId,
            targets: List<TargetEndpoint>?,
            selfDomain: FailureDomainId?,
        ): ReleaseTargets {
            val (local, remote) = targets.orEmpty().partition { it.failureDomain == selfDomain }
            return ReleaseTargets(release, local, remote)
        }
    }
}

/** Holds a route with the service it leads to. */
class Route(
    val id: RouteId,
    val config: RouteConfig,
    val service: RoutedService,
)

/** Holds a service with the targets of its current release and, during a move, of the [next] one. */
class RoutedService(
    val id: ServiceId,
    val config: ServiceConfig,
    val current: ReleaseTargets,
    val next: ReleaseTargets?,
    /** Share of the calls that goes to [next]. */
    val nextPermille: Int,
) {
    /** All targets of both releases. */
    val targets: List<TargetEndpoint> = current.all + next?.all.orEmpty()

    /**
     * Returns the release for a call that has drawn [draw] in 0..999. A release without targets yields to the current one,
     * which stays usable until the move is done; the current one never yields to a release under trial.
     */
    fun release(draw: Int): ReleaseTargets {
        require(draw in 0 until FULL_SHARE_PERMILLE) { "draw $draw is outside 0..999" }
        val chosen = next ?: return current
        return if (draw < nextPermille && chosen.all.isNotEmpty()) chosen else current
    }
}

/** Holds the targets of one release, split by whether they are in this node's own failure domain. */
class ReleaseTargets(
    val release: ReleaseId,
    val local: List<TargetEndpoint>,
    val remote: List<TargetEndpoint>,
) {
    /** Targets of all failure domains. */
    val all: List<TargetEndpoint> = local + remote
}

/** Holds what an entry node needs to send a call to the owner of a target. */
data class TargetEndpoint(
    val node: NodeId,
    val failureDomain: FailureDomainId,
    val incarnation: Long,
    val peerCallEndpoint: Endpoint,
    val service: ServiceId,
    val release: ReleaseId,
    val slots: Int,
)
