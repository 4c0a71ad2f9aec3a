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
 * Routes, services and targets to which a node forwards calls, compiled from one configuration state and one fleet
 * view. A route only refers to services and targets of the same table. Immutable.
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
    /** Failure domains whose targets get no calls and are not in the table. */
    val evacuatedDomains: Set<FailureDomainId> = emptySet(),
    /** Tenants and their API keys. */
    val tenants: TenantTable = TenantTable.EMPTY,
) {
    /** Nodes whose targets are in the table. */
    val nodes: Set<NodeId> get() = targets.keys

    /** Identifiers of all routes of the configuration. */
    val routeIds: Set<RouteId> get() = configs.keys

    /**
     * Returns the route [id] if its services are in the table, or null. Routes are created on demand, since a table is
     * compiled for each change of a target and most of its routes get no calls before the next one.
     */
    fun route(id: RouteId): Route? {
        val config = configs[id] ?: return null
        val first = services[config.service] ?: return null
        val parts = config.split.map { WeightedService(services[it.service] ?: return null, it.weight) }
        return Route(id, config, first, parts)
    }

    /**
     * Returns the route with the longest matching prefix of [path] for [host], else among those for all hosts, or null.
     */
    fun match(
        path: String,
        host: String? = null,
    ): Route? {
        val hostRoute = host?.let { matchers.byHost[it.lowercase()]?.match(path)?.let(::route) }
        return hostRoute ?: matchers.byHost[null]?.match(path)?.let(::route)
    }

    /** Returns the target of [node] if it is in the table, or null. */
    fun target(node: NodeId): TargetEndpoint? = targets[node]

    /** Compiles tables. */
    companion object {
        /** Table without routes, which is not ready. */
        val EMPTY = RoutingTable(0, 0, false, emptyMap(), emptyMap(), emptyMap())

        /**
         * Compiles a table from [state] and the targets in [view] that accept new calls. The new release of a move in
         * [heldMoves] gets no share. Prefix matchers are reused from [previous] if the configuration leaves them
         * unchanged.
         */
        fun compile(
            state: ConfigurationState,
            view: FleetView,
            heldMoves: Set<MoveId>,
            previous: RoutingTable? = null,
        ): RoutingTable {
            val matchers = previous?.matchers?.updatedFor(state.mesh) ?: RouteMatchers(state.mesh)
            val selfDomain = view.nodes[view.self]?.failureDomain
            val serving = servingTargets(state, view)
            val servingByService = serving.groupBy { it.service }
            val targets = serving.filter { it.failureDomain !in state.evacuatedDomains }
            val byRelease = targets.groupBy { it.service to it.release }
            val moves =
                state.moves.entries
                    .filter { !it.value.phase.isFinal }
                    .associateBy { it.value.plan.service }
            val services =
                state.mesh.services.mapValues { (id, config) ->
                    if (config.initialRelease == ANNOUNCED_RELEASE) {
                        val ordered = state.orders[id]?.move
                        val router =
                            AnnouncedReleaseRouter(state.moves[ordered], ordered in heldMoves, state.evacuatedDomains)
                        return@mapValues router.route(id, config, servingByService[id].orEmpty(), selfDomain)
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
            // Orders of operators may be read from the log before the first configuration, and a log that returned from a
            // copy may be empty.
            val hasOrders = state.orders.isNotEmpty() || state.evacuatedDomains.isNotEmpty()
            val isReady = state.version > 0 || (state.offset > NO_OFFSET && !hasOrders)
            return RoutingTable(
                state.version,
                view.revision,
                isReady,
                services,
                state.mesh.routes,
                targets.associateBy { it.node },
                state.mesh.callerLimits,
                matchers,
                state.evacuatedDomains,
                previous?.tenants?.updatedFor(state.mesh) ?: TenantTable.of(state.mesh),
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
                    isCold = target.coldPerSecond != null,
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

/** Prefix matchers for the routes of [mesh], by host in lower case. Those under null are for all hosts. */
internal class RouteMatchers private constructor(
    val mesh: MeshConfig,
    val byHost: Map<String?, PrefixMatcher<RouteId>>,
) {
    constructor(mesh: MeshConfig) : this(mesh, matchersOf(mesh))

    /** Returns the matchers for [next], reusing these if every route is matched in the same way. */
    fun updatedFor(next: MeshConfig): RouteMatchers =
        when {
            next === mesh -> this
            hasSameMatch(next) -> RouteMatchers(next, byHost)
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
        isRoutable(mesh, before) == isRoutable(mesh, route)

    private companion object {
        fun matchersOf(mesh: MeshConfig): Map<String?, PrefixMatcher<RouteId>> =
            mesh.routes.entries
                .filter { (_, route) -> isRoutable(mesh, route) }
                .groupBy { (_, route) -> route.host?.lowercase() }
                .mapValues { (_, routes) ->
                    PrefixMatcher(routes.associate { (id, route) -> normalizedPath(route.pathPrefix) to id })
                }

        /**
         * True if the services of [route] exist; otherwise the route is left out, so that it does not hide a shorter
         * prefix.
         */
        fun isRoutable(
            mesh: MeshConfig,
            route: RouteConfig,
        ) = route.service in mesh.services && route.split.all { it.service in mesh.services }
    }
}

/** Route with the services to which it leads. */
class Route(
    val id: RouteId,
    val config: RouteConfig,
    val service: RoutedService,
    private val parts: List<WeightedService> = emptyList(),
) {
    private val totalWeight = parts.sumOf { it.weight.toLong() }

    /**
     * Returns this route with the one service that gets a call with the random number [draw] in 0..1. A service that is
     * overloaded keeps its share, because the operator has set the weights.
     */
    fun forCall(draw: Double): Route {
        if (totalWeight <= 0) return this
        var remaining = draw * totalWeight
        for (part in parts) {
            remaining -= part.weight
            if (remaining < 0) return Route(id, config, part.service)
        }
        return Route(id, config, parts.last().service)
    }

    /** Returns this route with [service] alone, or null if it does not lead to it. */
    fun to(service: ServiceId): Route? =
        if (this.service.id == service) {
            Route(id, config, this.service)
        } else {
            parts.firstOrNull { it.service.id == service }?.let { Route(id, config, it.service) }
        }
}

/** Service that gets calls of a route in proportion to [weight]. */
class WeightedService(
    val service: RoutedService,
    val weight: Int,
)

/** Service with the targets of its current release and, during a move, of the [next] one. */
class RoutedService(
    val id: ServiceId,
    val config: ServiceConfig,
    val current: ReleaseTargets,
    val next: ReleaseTargets?,
    /** Share of the calls that goes to [next], in permille. */
    val nextPermille: Int,
) {
    /** All targets of both releases. */
    val targets: List<TargetEndpoint> = current.all + next?.all.orEmpty()

    /**
     * Returns the release for a call with the random number [draw] in 0..999. Calls for a next release without targets
     * go to the current one, which stays usable until the move is done. Calls for a current release without targets do
     * not go to the next one, since that is under trial.
     */
    fun release(draw: Int): ReleaseTargets {
        require(draw in 0 until FULL_SHARE_PERMILLE) { "draw $draw is outside 0..999" }
        val chosen = next ?: return current
        return if (draw < nextPermille && chosen.all.isNotEmpty()) chosen else current
    }
}

/** Targets of one release, in this node's own failure domain ([local]) and in others ([remote]). */
class ReleaseTargets(
    val release: ReleaseId,
    val local: List<TargetEndpoint>,
    val remote: List<TargetEndpoint>,
) {
    /** Targets of all failure domains. */
    val all: List<TargetEndpoint> = local + remote

    /** True if [target], one of these targets, is in the node's own failure domain. */
    fun isLocal(target: TargetEndpoint): Boolean = target.failureDomain == local.firstOrNull()?.failureDomain
}

/** Target with what an entry node needs to send a call to its owner node. */
data class TargetEndpoint(
    val node: NodeId,
    val failureDomain: FailureDomainId,
    val incarnation: Long,
    val peerCallEndpoint: Endpoint,
    val service: ServiceId,
    val release: ReleaseId,
    val slots: Int,
    /** True while membership suspects the node of having failed, since it does not respond to probes. */
    val isSuspect: Boolean = false,
    /** True while the target is cold, so that its owner admits few calls. */
    val isCold: Boolean = false,
)
