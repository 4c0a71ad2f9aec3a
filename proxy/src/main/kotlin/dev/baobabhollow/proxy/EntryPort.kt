package dev.baobabhollow.proxy

import dev.baobabhollow.calls.ReleaseTargets
import dev.baobabhollow.calls.Route
import dev.baobabhollow.calls.RoutingTable
import dev.baobabhollow.calls.TargetEndpoint
import dev.baobabhollow.model.FULL_SHARE_PERMILLE
import dev.baobabhollow.model.TenantId
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.QueryStringDecoder
import java.util.concurrent.ThreadLocalRandom

/** Opens exchanges for requests at the callers' port. */
internal class EntryPort(
    private val node: NodeCore,
) : CallPort {
    override val protocol: CallProtocol get() = node.settings.protocol
    override val mayCloseIdle get() = true
    override val addedHeaderBytes get() = 0

    override fun mayOverlap(head: HttpRequest): Boolean {
        if (requestError(head) != null || isKeyRequest(head)) return false
        return routedPath(head)?.let { node.tables().match(it, hostOf(head)) }?.config?.idempotent == true
    }

    override fun open(
        downstream: DownstreamCall,
        head: HttpRequest,
    ): Exchange {
        val malformed = requestError(head)
        if (malformed != null) return respondNow(downstream) { downstream.refuseMalformed(malformed) }
        val path = routedPath(head) ?: return respondNow(downstream) { downstream.refuseMalformed(badRequest()) }
        val table = node.tables()
        val host = hostOf(head)
        if (node.isDraining) return refused(downstream, CallFailure.notRun(FailureReason.DRAINING))
        if (!table.isReady) return refused(downstream, node.startupRefusal(FailureReason.NOT_READY))
        node.lagRefusal(downstream.loop)?.let { return refused(downstream, it) }
        node.memoryRefusal(downstream.caller.callId, head)?.let { return refused(downstream, it) }
        val route = table.match(path, host)
        if (route == null) {
            node.logUnrouted(downstream.caller.callId, host, path, table.version)
            return refused(downstream, CallFailure.notRun(FailureReason.NO_ROUTE, HttpResponseStatus.NOT_FOUND))
        }
        val tenant =
            when (val identity = identify(head, table, route)) {
                Identity.Refused -> return unauthorized(downstream, route, table)
                is Identity.Accepted -> identity.tenant
            }
        return forward(downstream, head, table, route.forCall(ThreadLocalRandom.current().nextDouble()), tenant)
    }

    /** Checks the key of a request against the configuration in force now, which may be newer than when it was read. */
    private fun identify(
        head: HttpRequest,
        table: RoutingTable,
        route: Route,
    ): Identity {
        if (!table.tenants.isKeyRequired) return Identity.Accepted(null)
        val identity = table.tenants.identify(protocol.readApiKey(head.headers()), route)
        protocol.removeCredentials(head.headers())
        return identity
    }

    private fun unauthorized(
        downstream: DownstreamCall,
        route: Route,
        table: RoutingTable,
    ): Exchange {
        node.logUnauthorized(downstream.caller.callId, route, table.version)
        return refused(downstream, CallFailure.unauthorized())
    }

    private fun hostOf(head: HttpRequest): String? = head.headers().get(HttpHeaderNames.HOST)?.substringBefore(':')

    /** Returns the path that selects the route; a request for a key has it in its query. */
    private fun routedPath(head: HttpRequest): String? {
        if (!isKeyRequest(head)) return routingPath(head.uri())
        val query = runCatching { QueryStringDecoder(head.uri()).parameters()["path"] }.getOrNull()
        return query?.firstOrNull()?.let(::routingPath)
    }

    private fun forward(
        downstream: DownstreamCall,
        head: HttpRequest,
        table: RoutingTable,
        route: Route,
        tenant: TenantId?,
    ): Exchange {
        val now = node.nowMillis()
        val headers = head.headers()
        val maxDeadline = now + route.config.timeoutMillis
        val caller = downstream.caller
        val deadline = (caller.deadlineMillis ?: maxDeadline).coerceAtMost(maxDeadline)
        if (now >= deadline) return refused(downstream, CallFailure.deadlinePassed(mayHaveRun = false))
        if (node.mayOutlastStop(route, deadline)) {
            return refused(downstream, CallFailure.notRun(FailureReason.DRAINING))
        }
        if (HttpUtil.getContentLength(head, 0L) > maxBodyBytes(table)) {
            val status = HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE
            return refused(downstream, CallFailure.notRun(FailureReason.BODY_TOO_LARGE, status))
        }
        val hop = (headers.getInt(MeshHeaders.HOP) ?: 0) + 1
        if (hop > node.settings.maxHops) {
            return refused(downstream, CallFailure.notRun(FailureReason.TOO_MANY_HOPS, HttpResponseStatus.BAD_REQUEST))
        }
        val issuer = if (route.config.idempotent) null else headers.get(MeshHeaders.KEY)?.let(node.claims::issuerOf)
        val keyOwner = issuer?.let { table.target(it.node) }
        if (issuer != null && (keyOwner == null || keyOwner.incarnation != issuer.incarnation)) {
            return refused(downstream, CallFailure.unknown(FailureReason.KEY_OWNER_GONE))
        }
        downstream.sendContinue()
        headers.removeHopByHop()
        headers.remove(HttpHeaderNames.EXPECT)
        headers.remove(MeshHeaders.OUTCOME)
        headers.remove(MeshHeaders.TENANT)
        headers.set(MeshHeaders.HOP, hop)
        val deadlines = CallDeadlines.of(now, deadline, usefulLeftMillis(route, caller, now))
        return start(downstream, deadlines, head, route, keyOwner, tenant)
    }

    /** Returns the rest of the latency target, counted from the caller's first attempt, which may have been refused. */
    private fun usefulLeftMillis(
        route: Route,
        caller: CallerMetadata,
        nowMillis: Long,
    ): Long? {
        val stated = caller.deadlineMillis?.takeIf { node.settings.infersCallAge }
        val age = stated?.let { node.callAgeEstimator.ageMillis(route.id, it - nowMillis) } ?: 0
        return route.config.targetLatencyMillis?.let { it - age }
    }

    private fun start(
        downstream: DownstreamCall,
        deadlines: CallDeadlines,
        head: HttpRequest,
        route: Route,
        keyOwner: TargetEndpoint?,
        tenant: TenantId?,
    ): Exchange {
        val targets = targetsOf(route)
        val forward = {
            EntryExchange(node, downstream, deadlines, head, route, targets, keyOwner, tenant).apply { start() }
        }
        if (tenant == null) return forward()
        val quota = node.quotas.keyOf(tenant) ?: return forward()
        return QuotaExchange(node, downstream, tenant, quota, deadlines.lastMillis, forward).start()
    }

    private fun maxBodyBytes(table: RoutingTable) =
        minOf(node.settings.maxRequestBodyBytes, table.callerLimits?.maxBodyBytes ?: Long.MAX_VALUE)

    private fun targetsOf(route: Route): ReleaseTargets =
        route.service.release(ThreadLocalRandom.current().nextInt(FULL_SHARE_PERMILLE))

    private fun refused(
        downstream: DownstreamCall,
        failure: CallFailure,
    ): Exchange {
        node.metrics.countFailure("entry", failure)
        return respondNow(downstream) { downstream.writeFailureResponse(failure) }
    }
}
