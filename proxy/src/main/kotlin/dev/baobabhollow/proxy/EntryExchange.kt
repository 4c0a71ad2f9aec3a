package dev.baobabhollow.proxy

import dev.baobabhollow.calls.CallHealth
import dev.baobabhollow.calls.CallProfile
import dev.baobabhollow.calls.LeavingReason
import dev.baobabhollow.calls.ReleaseTargets
import dev.baobabhollow.calls.ResponseTimeEstimate
import dev.baobabhollow.calls.Route
import dev.baobabhollow.calls.TargetEndpoint
import dev.baobabhollow.model.NodeId
import dev.baobabhollow.model.TenantId
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpStatusClass
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.LastHttpContent
import java.util.concurrent.ThreadLocalRandom
import kotlin.random.asKotlinRandom

/** Hard deadline of a call, and the time until which its response meets the latency target; in epoch milliseconds. */
internal data class CallDeadlines(
    val lastMillis: Long,
    val usefulMillis: Long,
) {
    companion object {
        /** Returns deadlines with [usefulLeftMillis] from now until the latency target, or none if it is null. */
        fun of(
            nowMillis: Long,
            lastMillis: Long,
            usefulLeftMillis: Long?,
        ) = CallDeadlines(lastMillis, usefulLeftMillis?.let { minOf(nowMillis + it, lastMillis) } ?: lastMillis)
    }
}

/** Forwards a call to the owner of a target and, where the route's rules allow it, retries it at another one. */
internal class EntryExchange(
    node: NodeCore,
    downstream: DownstreamCall,
    private val deadlines: CallDeadlines,
    private val head: HttpRequest,
    private val route: Route,
    private val targets: ReleaseTargets,
    private val fixedTarget: TargetEndpoint?,
    private val tenant: TenantId?,
) : RelayExchange(node, downstream, deadlines.lastMillis) {
    private val replay = PendingBody(node.memory)
    private val callerCallId = downstream.caller.callId
    private val mayRetry = fixedTarget == null && !head.headers().contains(MeshHeaders.RETRY)
    private val profile =
        CallProfile(
            bodyBytesOf(head) + node.responseSizes.expectedBytes(route.id),
            route.config.targetLatencyMillis ?: 0,
        )
    private val startMicros = node.nowMicros()
    private var attemptMicros = startMicros
    private var isReplayOverflowed = false

    /** True once the caller may have received a part of a response. */
    private var isResponseStarted = false
    private var attempts = 0

    /** Attempts that reached a target. */
    private var attemptsAtTargets = 0
    private var tried: MutableSet<NodeId> = mutableSetOf()
    private var target: TargetEndpoint? = null
    private var leavingReason: LeavingReason? = null
    private var responseStatus = HttpResponseStatus.OK
    private var responseBytes = 0L
    private var loadPermille: Int? = null
    private var estimate: ResponseTimeEstimate? = null

    /** Shortest time in milliseconds until a cold target that refused the call has capacity. */
    private var coldRetryMillis: Long? = null

    override val leg = "entry"

    fun start() {
        startTimer()
        node.budgets.of(route.service.id).onCall()
        val first = fixedTarget ?: pick()
        if (first == null) fail(node.startupRefusal(FailureReason.NO_TARGET)) else send(first)
    }

    private fun pick(): TargetEndpoint? {
        leavingReason = null
        val random = ThreadLocalRandom.current().asKotlinRandom()
        return node.picker.pick(targets, excluded(), node.nowMillis(), random, profile) { leavingReason = it }
    }

    /** The call may have started before the order to evacuate, with targets of an earlier table. */
    private fun excluded(): Set<NodeId> {
        val evacuated = node.tables().evacuatedDomains
        if (evacuated.isEmpty()) return tried
        return targets.all.filter { it.failureDomain in evacuated }.mapTo(HashSet(tried)) { it.node }
    }

    private fun send(chosen: TargetEndpoint) {
        attempts++
        tried.add(chosen.node)
        target = chosen
        loadPermille = null
        estimate = null
        attemptMicros = node.nowMicros()
        node.picker.started(chosen, node.nowMillis())
        leavingReason?.let { node.metrics.countLeft(it, profile.transferBytes) }
        val callId = callerCallId ?: node.newCallId()
        prepareHead(chosen, callId)
        val next = if (chosen.node == node.self.node) localAttempt(chosen, callId) else remoteAttempt(chosen, callId)
        attempt = next
        next.start(head)
        replay.replay { if (attempt === next) next.body(it) else it.release() }
        if (attempt === next) next.flush()
    }

    private fun prepareHead(
        chosen: TargetEndpoint,
        callId: String,
    ) {
        val headers = head.headers()
        headers.set(MeshHeaders.RELEASE, chosen.release.value)
        headers.set(MeshHeaders.CALL, callId)
        headers.set(MeshHeaders.DEADLINE, deadlineMillis - node.settings.hopMarginMillis)
        // An earlier attempt at the local target has removed these headers from the request.
        tenant?.let { headers.set(MeshHeaders.TENANT, it.value) }
        node.settings.callerService?.let { headers.set(MeshHeaders.CALLER, it.value) }
        if (attempts > 1) headers.set(MeshHeaders.RETRY, "1")
    }

    private fun localAttempt(
        chosen: TargetEndpoint,
        callId: String,
    ): Attempt {
        head.headers().remove(MeshHeaders.ROUTE)
        val margin = node.settings.hopMarginMillis
        val targetDeadlines = CallDeadlines(deadlineMillis - margin, deadlines.usefulMillis - margin)
        return TargetCall(node, downstream.loop, route, chosen.release, callId, targetDeadlines, this)
    }

    private fun remoteAttempt(
        chosen: TargetEndpoint,
        callId: String,
    ): Attempt {
        head.headers().set(MeshHeaders.ROUTE, route.id.value)
        val pool = node.pools(downstream.loop).owners.of(chosen.peerCallEndpoint)
        return UpstreamCall(pool, callId, FailureReason.OWNER_UNREACHABLE, MeshProtocol, this)
    }

    override fun forward(content: HttpContent) {
        keepForReplay(content)
        super.forward(content)
    }

    private fun keepForReplay(content: HttpContent) {
        if (!mayRetry || isReplayOverflowed || isEnded) return
        val bytes = replay.bytes + content.content().readableBytes()
        if (bytes <= node.settings.maxReplayBytes && node.memory.allowsCopy(bytes)) {
            replay.add(content.retainedDuplicate())
            return
        }
        isReplayOverflowed = true
        replay.clear()
    }

    /** Writes the remaining time only now, since the attempt may have waited for a connection. */
    override fun onSending() {
        if (node.settings.sendsRemainingTime) {
            val startMillis = node.nowMillis() + node.settings.hopMarginMillis
            head.headers().set(MeshHeaders.TIME_LEFT, deadlineMillis - startMillis)
            head.headers().set(MeshHeaders.USEFUL_LEFT, deadlines.usefulMillis - startMillis)
        }
        node.logDelay(callerCallId, "entry", attemptMicros - startMicros, node.nowMicros() - attemptMicros)
    }

    override fun onResponseHead(head: HttpResponse) {
        val headers = head.headers()
        val outcome = headers.get(MeshHeaders.OUTCOME)
        loadPermille = headers.getInt(MeshHeaders.LOAD)
        headers.remove(MeshHeaders.LOAD)
        estimate = headers.takeEstimate()
        headers.remove(MeshHeaders.CALL)
        if (outcome != null) return onGeneratedError(head, outcome)
        val code = head.status().code()
        if (route.config.idempotent && isRetryableStatus(code)) {
            attemptsAtTargets++
            val next = nextTarget(chargesBudget = true)
            if (next != null) {
                // The target itself returned the error and may have executed the request.
                hasEarlierRun = true
                return retry(next, CallHealth.NEUTRAL)
            }
        }
        responseStatus = head.status()
        isResponseStarted = true
        headers.removeHopByHop()
        super.onResponseHead(head)
    }

    override fun onResponseBody(content: HttpContent) {
        responseBytes += content.content().readableBytes()
        val isComplete = content is LastHttpContent && responseStatus.codeClass() == HttpStatusClass.SUCCESS
        if (isComplete) node.responseSizes.record(route.id, responseBytes)
        super.onResponseBody(content)
    }

    private fun onGeneratedError(
        head: HttpResponse,
        outcome: String,
    ) {
        val reason = FailureReason.of(head.headers().get(MeshHeaders.REASON))
        val isNotRun = outcome == CallOutcome.NOT_RUN.text
        val retryAfter = head.headers().getInt(MeshHeaders.ROOM_IN)?.toLong()
        val known = if (isNotRun) CallOutcome.NOT_RUN else CallOutcome.UNKNOWN
        onAttemptFailure(CallFailure(head.status(), known, reason, retryAfter))
    }

    override fun onFailure(failure: CallFailure) = onAttemptFailure(failure)

    private fun onAttemptFailure(failure: CallFailure) {
        if (failure.outcome == CallOutcome.UNKNOWN) hasEarlierRun = true
        failure.loadPermille?.let { loadPermille = it }
        failure.estimate?.let { estimate = it }
        val reachedTarget = failure.outcome == CallOutcome.UNKNOWN || failure.reason == FailureReason.TARGET_REFUSED
        if (reachedTarget) attemptsAtTargets++
        if (failure.reason == FailureReason.COLD_TARGET) onColdTarget(failure.retryAfterMillis ?: 0)
        val isCharged = reachedTarget || (node.settings.chargesRefusals && failure.reason !in UNCHARGED_REFUSALS)
        val next = if (isRetryable(failure)) nextTarget(isCharged) else null
        if (next != null) return retry(next, failure.reason.health)
        attempt?.abandon()
        attempt = null
        // The load header is for entry nodes only.
        val isCold = failure.reason == FailureReason.COLD_TARGET
        fail(
            failure.copy(
                loadPermille = null,
                estimate = null,
                retryAfterMillis = if (isCold) coldRetryMillis else failure.retryAfterMillis,
            ),
        )
    }

    private fun onColdTarget(retryAfterMillis: Long) {
        val now = node.nowMillis()
        coldRetryMillis = minOf(coldRetryMillis ?: Long.MAX_VALUE, retryAfterMillis)
        target?.let { node.picker.refusedCold(it, now + retryAfterMillis, now) }
    }

    private fun isRetryable(failure: CallFailure): Boolean {
        val isServerSide = failure.status.code() == BAD_GATEWAY || failure.status.code() == UNAVAILABLE
        return isServerSide && (failure.outcome == CallOutcome.NOT_RUN || route.config.idempotent)
    }

    private fun isRetryableStatus(code: Int) =
        code == UNAVAILABLE || (node.settings.retriesServerErrors && code >= SERVER_ERRORS && code != GATEWAY_TIMEOUT)

    /** Returns another target if a retry is allowed, and charges the retry budget if [chargesBudget]. */
    private fun nextTarget(chargesBudget: Boolean): TargetEndpoint? {
        val now = node.nowMillis()
        val maxTargets = route.config.maxTargets ?: node.settings.maxAttempts
        val hasAttempts = attempts < node.settings.maxAttempts && attemptsAtTargets < maxTargets
        val isReplayable = mayRetry && !isReplayOverflowed && !isResponseStarted
        if (isEnded || !isReplayable || !hasAttempts || now >= deadlineMillis) return null
        val next = pick() ?: return null
        return next.takeIf { !chargesBudget || node.budgets.of(route.service.id).tryRetry(now) }
    }

    private fun retry(
        next: TargetEndpoint,
        health: CallHealth,
    ) {
        node.metrics.countRetry()
        attempt?.abandon()
        attempt = null
        finishAttempt(health, isMeasured = false)
        send(next)
    }

    private fun finishAttempt(
        health: CallHealth,
        isMeasured: Boolean,
    ) {
        val used = target ?: return
        target = null
        val now = node.nowMillis()
        val micros = if (isMeasured) node.nowMicros() - attemptMicros else null
        node.picker.finished(used, micros, loadPermille, now, estimate)
        node.outliers.record(used, health, route.service.targets, now)
    }

    override fun release() = replay.clear()

    override fun onEnd(
        status: Int?,
        failure: CallFailure?,
    ) {
        val code = status ?: responseStatus.code()
        val isCancelled = failure?.reason == FailureReason.CANCELLED
        val isTimeout = failure?.reason == FailureReason.DEADLINE_PASSED
        finishAttempt(healthOf(code, failure), isMeasured = failure == null || isTimeout)
        node.logEnd(callerCallId, route, code, failure, attempts, lastTriedNode(), node.nowMicros() - startMicros)
        if (isCancelled) return
        val micros = node.nowMicros() - startMicros
        node.recorder.recordCall(route, isError = code >= SERVER_ERRORS, micros)
        node.metrics.countCall(route.id.value, code, micros)
        tenant?.let { node.metrics.countTenantCall(it, code) }
    }

    private fun lastTriedNode() = tried.lastOrNull()

    private fun healthOf(
        code: Int,
        failure: CallFailure?,
    ): CallHealth {
        val isTimeout = failure?.reason == FailureReason.DEADLINE_PASSED && failure.outcome == CallOutcome.UNKNOWN
        return when {
            isTimeout -> CallHealth.FAILURE
            failure != null -> failure.reason.health
            code == UNAVAILABLE -> CallHealth.NEUTRAL
            code >= SERVER_ERRORS -> CallHealth.FAILURE
            else -> CallHealth.SUCCESS
        }
    }

    private companion object {
        const val BAD_GATEWAY = 502
        const val UNAVAILABLE = 503
        const val SERVER_ERRORS = 500
        const val GATEWAY_TIMEOUT = 504

        /** Refusals that say where calls belong; no target has seen the call. */
        val UNCHARGED_REFUSALS = setOf(FailureReason.EVACUATED, FailureReason.COLD_TARGET)

        /** Assumed length of a chunked body; most of these are uploads. */
        const val UNKNOWN_BODY_BYTES = 65_536L

        fun bodyBytesOf(head: HttpRequest) =
            if (HttpUtil.isTransferEncodingChunked(head)) UNKNOWN_BODY_BYTES else HttpUtil.getContentLength(head, 0L)
    }
}
