package dev.baobabhollow.proxy

import dev.baobabhollow.calls.Route
import dev.baobabhollow.model.ReleaseId
import dev.baobabhollow.model.RouteId
import dev.baobabhollow.model.UNKNOWN_RELEASE
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpResponse

/** Serves a call from an entry node at the owner node of the target. */
internal class OwnerExchange(
    node: NodeCore,
    downstream: DownstreamCall,
    private val deadlines: CallDeadlines,
    private val callId: String,
) : RelayExchange(node, downstream, deadlines.lastMillis) {
    override val leg = "owner"

    fun start(
        head: HttpRequest,
        route: Route,
        release: ReleaseId,
    ) {
        val call = TargetCall(node, downstream.loop, route, release, callId, deadlines, this)
        attempt = call
        call.start(head)
        startTimer()
    }

    override fun onResponseHead(head: HttpResponse) {
        head.headers().set(MeshHeaders.CALL, callId)
        super.onResponseHead(head)
    }

    override fun onEnd(
        status: Int?,
        failure: CallFailure?,
    ) = Unit
}

/** Opens exchanges for requests at the peer call port. */
internal class OwnerPort(
    private val node: NodeCore,
) : CallPort {
    override val protocol: CallProtocol get() = MeshProtocol

    /** Entry nodes send one request at a time on a connection. */
    override fun mayOverlap(head: HttpRequest) = false

    /** An entry node cannot tell whether a request that was on its way at the close has been executed. */
    override val mayCloseIdle get() = false

    override val addedHeaderBytes get() = MESH_HEADER_BYTES

    override fun open(
        downstream: DownstreamCall,
        head: HttpRequest,
    ): Exchange {
        val malformed = requestError(head)
        if (malformed != null) return respondNow(downstream) { downstream.refuseMalformed(malformed) }
        if (node.isDraining) return refused(downstream, CallFailure.notRun(FailureReason.DRAINING))
        node.lagRefusal(downstream.loop)?.let { return refused(downstream, it) }
        node.memoryRefusal(head.headers().get(MeshHeaders.CALL), head)?.let { return refused(downstream, it) }
        val headers = head.headers()
        val target = node.self.target
        val named = headers.get(MeshHeaders.ROUTE)?.let { node.tables().route(RouteId(it)) }
        val route = target?.let { named?.to(it.service) }
        if (route == null || target == null || !node.hasTarget) return refused(downstream, wrongTarget())
        if (node.isEvacuated) return refused(downstream, CallFailure.notRun(FailureReason.EVACUATED))
        val release = headers.get(MeshHeaders.RELEASE)?.let(::ReleaseId)
        if (release != target.release && !isAnyRelease(release, route)) return refused(downstream, wrongTarget())
        val now = node.nowMillis()
        val maxDeadline = now + route.config.timeoutMillis
        val left = headers.get(MeshHeaders.TIME_LEFT)?.toLongOrNull()
        val stated = left?.let { now + it } ?: headers.get(MeshHeaders.DEADLINE)?.toLongOrNull()
        val deadline = (stated ?: maxDeadline).coerceAtMost(maxDeadline)
        if (now >= deadline) return refused(downstream, CallFailure.deadlinePassed(mayHaveRun = false))
        if (node.mayOutlastStop(route, deadline)) {
            return refused(downstream, CallFailure.notRun(FailureReason.DRAINING))
        }
        val callId = headers.get(MeshHeaders.CALL) ?: node.newCallId()
        if (isKeyRequest(head)) return respondNow(downstream) { respondWithKey(node, downstream) }
        headers.remove(MeshHeaders.ROUTE)
        val usefulLeft = headers.get(MeshHeaders.USEFUL_LEFT)?.toLongOrNull() ?: route.config.targetLatencyMillis
        val deadlines = CallDeadlines.of(now, deadline, usefulLeft)
        return OwnerExchange(node, downstream, deadlines, callId).also { it.start(head, route, target.release) }
    }

    /** True if the entry node did not know the target's release yet, which is harmless while no move is in progress. */
    private fun isAnyRelease(
        release: ReleaseId?,
        route: Route,
    ) = release == UNKNOWN_RELEASE && route.service.next == null

    private fun wrongTarget() = CallFailure.notRun(FailureReason.WRONG_TARGET)

    private fun refused(
        downstream: DownstreamCall,
        failure: CallFailure,
    ): Exchange {
        node.metrics.countFailure("owner", failure)
        return respondNow(downstream) { downstream.writeFailureResponse(failure) }
    }
}
