package dev.baobabhollow.proxy

import dev.baobabhollow.calls.Route
import dev.baobabhollow.model.ReleaseId
import dev.baobabhollow.model.RouteId
import dev.baobabhollow.model.UNKNOWN_RELEASE
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpResponse

/** Serves a call from an entry node at the owner of the target. */
internal class OwnerExchange(
    node: NodeCore,
    front: FrontHandler,
    private val deadlines: CallDeadlines,
    private val callId: String,
) : RelayExchange(node, front, deadlines.lastMillis) {
    override val leg = "owner"

    fun start(
        head: HttpRequest,
        route: Route,
        release: ReleaseId,
    ) {
        val call = TargetCall(node, front.loop, route, release, callId, deadlines, this)
        attempt = call
        call.start(head)
        startTimer()
    }

    override fun onAnswerHead(head: HttpResponse) {
        head.headers().set(MeshHeaders.CALL, callId)
        super.onAnswerHead(head)
    }

    override fun onEnd(
        status: Int?,
        failure: CallFailure?,
    ) = Unit
}

/** Opens exchanges of the peer call port. */
internal class OwnerPort(
    private val node: NodeCore,
) {
    fun open(
        front: FrontHandler,
        head: HttpRequest,
    ): Exchange {
        val malformed = requestError(head)
        if (malformed != null) return refused(front) { front.refuseMalformed(malformed) }
        if (node.isDraining) return refused(front, CallFailure.notRun(FailureReason.DRAINING))
        node.lagRefusal(front.loop)?.let { return refused(front, it) }
        val headers = head.headers()
        val target = node.self.target
        val named = headers.get(MeshHeaders.ROUTE)?.let { node.tables().route(RouteId(it)) }
        val route = target?.let { named?.to(it.service) }
        if (route == null || target == null || !node.hasTarget) return refused(front, wrongTarget())
        val release = headers.get(MeshHeaders.RELEASE)?.let(::ReleaseId)
        if (release != target.release && !isAnyRelease(release, route)) return refused(front, wrongTarget())
        val now = node.nowMillis()
        val clamp = now + route.config.timeoutMillis
        val left = headers.get(MeshHeaders.TIME_LEFT)?.toLongOrNull()
        val stated = left?.let { now + it } ?: headers.get(MeshHeaders.DEADLINE)?.toLongOrNull()
        val deadline = (stated ?: clamp).coerceAtMost(clamp)
        if (now >= deadline) return refused(front, CallFailure.deadlinePassed(mayHaveRun = false))
        val callId = headers.get(MeshHeaders.CALL) ?: node.newCallId()
        if (isKeyRequest(head)) return refused(front) { answerKey(node, front) }
        headers.remove(MeshHeaders.ROUTE)
        val usefulLeft = headers.get(MeshHeaders.USEFUL_LEFT)?.toLongOrNull() ?: route.config.targetLatencyMillis
        val deadlines = CallDeadlines.of(now, deadline, usefulLeft)
        return OwnerExchange(node, front, deadlines, callId).also { it.start(head, route, target.release) }
    }

    /** An entry node that chose the target before its release was known may have it all the same while nothing moves. */
    private fun isAnyRelease(
        release: ReleaseId?,
        route: Route,
    ) = release == UNKNOWN_RELEASE && route.service.next == null

    private fun wrongTarget() = CallFailure.notRun(FailureReason.WRONG_TARGET)

    private fun refused(
        front: FrontHandler,
        failure: CallFailure,
    ): Exchange {
        node.metrics.countFailure("owner", failure)
        return refused(front) { front.answerFailure(failure) }
    }
}
