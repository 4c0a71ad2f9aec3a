package dev.baobabhollow.calls

import dev.baobabhollow.membership.FleetView
import dev.baobabhollow.model.ANNOUNCED_RELEASE
import dev.baobabhollow.model.CallerLimits
import dev.baobabhollow.model.ConfigurationState
import dev.baobabhollow.model.Endpoint
import dev.baobabhollow.model.FULL_SHARE_PERMILLE
import dev.baobabhollow.model.FailureDomainId
import dev.baobabhollow.model.MeshConfig
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
    private val configs: Map<RouteId, RouteConfig>,
    private val targets: Map<NodeId, TargetEndpoint>,
    /** Limits of what callers may send, if the configuration states them. */
    val callerLimits: CallerLimits? = null,
    private val matchers: RouteMatchers = RouteMatchers(MeshConfig.EMPTY),
) {
    /** Nodes whose targets the table holds. */
    val nodes: Set<NodeId> get() = targets.keys

    /** Identifiers of all routes of the configuration. */
    val routeIds: Set<RouteId> get() = configs.keys

    /**
     * Returns the route [id] if the table holds its services. It is made for each call, since a table is compiled anew for
     * each change of a target and most of its routes carry no calls until the next one.
     */
    fun route(id: RouteId): Route? {
        val config = configs[id] ?: return null
        val first = services[config.service] ?: return null
        val parts = config.split.map { WeightedService(services[it.service] ?: return null, it.weight) }
        return Route(id, config, first, parts)
    }

    /** Returns the route with the longest prefix of [path] among those of [host], else among those of no host, or null. */
    fun match(
        path: String,
        host: String? = null,
    ): Route? {
        val ofHost = host?.let { matchers.ofHost[it.lowercase()]?.match(path)?.let(::route) }
        return ofHost ?: matchers.ofHost[null]?.match(path)?.let(::route)
    }

    /** Returns the target beside [node] if the table holds it. */
    fun target(node: NodeId): TargetEndpoint? = targets[node]

    /** Compiles tables. */
    companion object {
        /** Routes nothing and is not ready. */
        val EMPTY = RoutingTable(0, 0, false, emptyMap(), emptyMap(), emptyMap())

        /**
         * Compiles a table from [state] and the targets in [view] that take new calls. The new release of a move in
         * [heldMoves] gets no share. What depends on the configuration alone is taken from [previous] if it has not changed.
         */
        fun compile(
            state: ConfigurationState,
            view: FleetView,
            heldMoves: Set<MoveId>,
            previous: RoutingTable? = null,
        ): RoutingTable {
            val matchers = previous?.matchers?.updatedFor(state.mesh) ?: RouteMatchers(state.mesh)
            val selfDomain = view.nodes[view.self]?.failureDomain
            val targets = servingTargets(state, view)
            val byService = targets.groupBy { it.service }
            val byRelease = targets.groupBy { it.service to it.release }
            val moves =
                state.moves.entries
                    .filter { !it.value.phase.isFinal }
                    .associateBy { it.value.plan.service }
            val services =
                state.mesh.services.mapValues { (id, config) ->
                    if (config.initialRelease == ANNOUNCED_RELEASE) {
                        val ordered = state.orders[id]?.move
                        val choice = AnnouncedReleaseRouter(state.moves[ordered], ordered in heldMoves)
                        return@mapValues choice.route(id, config, byService[id].orEmpty(), selfDomain)
                    }
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
            // An order can be read before the first configuration.
            val isReady = state.offset > NO_OFFSET && (state.version > 0 || state.orders.isEmpty())
            return RoutingTable(
                state.version,
                view.revision,
                isReady,
                services,
                state.mesh.routes,
                targets.associateBy { it.node },
                state.mesh.callerLimits,
                matchers,
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
                    isSuspect = record.status == NodeStatus.SUSPECT,
                )
            }

        internal fun releaseTargets(
            release: ReleaseId,
            targets: List<TargetEndpoint>?,
            selfDomain: FailureDomainId?,
        ): ReleaseTargets {
            val (local, remote) = targets.orEmpty().partition { it.failureDomain == selfDomain }
            return ReleaseTargets(release, local, remote)
        }
    }
}

/** Finds the routes of [mesh] by host, null being all hosts, and prefix. */
internal class RouteMatchers private constructor(
    val mesh: MeshConfig,
    val ofHost: Map<String?, PrefixMatcher<RouteId>>,
) {
    constructor(mesh: MeshConfig) : this(mesh, matchersOf(mesh))

    /** Returns the matchers of [next], which are these ones if no route is found in another way. */
    fun updatedFor(next: MeshConfig): RouteMatchers =
        when {
            next === mesh -> this
            hasSameMatch(next) -> RouteMatchers(next, ofHost)
            else -> RouteMatchers(next)
        }

    private fun hasSameMatch(next: MeshConfig): Boolean {
        if (next.services.keys != mesh.services.keys || next.routes.size != mesh.routes.size) return false
        return next.routes.all { (id, route) ->
            val before = mesh.routes[id] ?: return false
            before === route || hasSameMatch(before, route)
        }
    }

    private fun hasSameMatch(
        before: RouteConfig,
        route: RouteConfig,
    ) = before.pathPrefix == route.pathPrefix && before.host == route.host &&
        isHeld(mesh, before) == isHeld(mesh, route)

    private companion object {
        fun matchersOf(mesh: MeshConfig): Map<String?, PrefixMatcher<RouteId>> =
            mesh.routes.entries
                .filter { (_, route) -> isHeld(mesh, route) }
                .groupBy { (_, route) -> route.host?.lowercase() }
                .mapValues { (_, routes) -> PrefixMatcher(routes.associate { (id, route) -> route.pathPrefix to id }) }

        /** A route to a service that is not there must not hide a shorter prefix. */
        fun isHeld(
            mesh: MeshConfig,
            route: RouteConfig,
        ) = route.service in mesh.services && route.split.all { it.service in mesh.services }
    }
}

/** Holds a route with the service it leads to. */
class Route(
    val id: RouteId,
    val config: RouteConfig,
    val service: RoutedService,
    private val parts: List<WeightedService> = emptyList(),
) {
    private val totalWeight = parts.sumOf { it.weight }

    /**
     * Returns this route with the one service that gets a call which has drawn [draw] in 0..1. A part that is short of
     * room keeps its calls, because the weights are what the operator asked for.
     */
    fun forCall(draw: Double): Route {
        if (totalWeight <= 0) return this
        var left = draw * totalWeight
        for (part in parts) {
            left -= part.weight
            if (left < 0) return Route(id, config, part.service)
        }
        return Route(id, config, parts.last().service)
    }

    /** Returns this route for calls to [service], or null if it does not lead there. */
    fun to(service: ServiceId): Route? =
        if (this.service.id == service) {
            Route(id, config, this.service)
        } else {
            parts.firstOrNull { it.service.id == service }?.let { Route(id, config, it.service) }
        }
}

/** Holds a service that gets [weight] of the calls on a route. */
class WeightedService(
    val service: RoutedService,
    val weight: Int,
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

    /** Tells whether [target], one of these, is in the node's own failure domain. */
    fun isLocal(target: TargetEndpoint): Boolean = target.failureDomain == local.firstOrNull()?.failureDomain
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
    /** True while the node did not answer probes and may have failed. */
    val isSuspect: Boolean = false,
)
