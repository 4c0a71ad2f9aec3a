package dev.baobabhollow.proxy

import dev.baobabhollow.calls.CallHealth
import dev.baobabhollow.calls.Refusal
import dev.baobabhollow.calls.Route
import dev.baobabhollow.calls.SlotRequest
import dev.baobabhollow.calls.Ticket
import dev.baobabhollow.model.ReleaseId
import dev.baobabhollow.model.ServiceId
import dev.baobabhollow.model.TenantId
import io.netty.channel.EventLoop
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.LastHttpContent

/**
 * Sends a request to the local target: buffers the body up to a limit, waits for a slot, claims the idempotency key if
 * there is one, and then sends the request. The slot is released together with the connection.
 */
internal class TargetCall(
    private val node: NodeCore,
    private val loop: EventLoop,
    private val route: Route,
    private val release: ReleaseId,
    private val callId: String,
    private val deadlines: CallDeadlines,
    private val listener: ResponseListener,
) : Attempt,
    ResponseListener {
    private val deadlineMillis = deadlines.lastMillis
    private var head: HttpRequest? = null
    private var tenant: TenantId? = null
    private var key: ClaimedKey? = null
    private var ticket: Ticket? = null
    private var upstream: UpstreamCall? = null
    private val pending = PendingBody(node.memory)
    private var isSubmitted = false
    private var isSlotHeld = false
    private var isEnded = false
    private var isDetached = false
    private var submittedMicros = 0L
    private var startMicros = 0L
    private var startLoadPermille = 0
    private var result: TargetResult? = null

    override val mayHaveRun: Boolean get() = upstream?.mayHaveRun == true

    override val isWritable: Boolean
        get() = upstream?.isWritable ?: (pending.bytes < node.settings.bodyBufferBytes || mayReadAhead)

    private val mayReadAhead: Boolean get() = node.memory.allowsReadAhead(pending.bytes)

    override fun start(head: HttpRequest) {
        this.head = head
        tenant = head.headers().get(MeshHeaders.TENANT)?.let(::TenantId)
    }

    override fun body(content: HttpContent) {
        val call = upstream
        when {
            call != null -> call.body(content)
            isEnded -> content.release()
            else -> collect(content)
        }
    }

    private fun collect(content: HttpContent) {
        if (content.content().isReadable && node.memory.isFull) {
            content.release()
            // A call that waits for a slot would get it after its end, and never release it.
            if (!isSlotHeld) ticket?.let(::endTicket)
            return finish(CallFailure.memoryLimit())
        }
        pending.add(content)
        if (!isSubmitted && (pending.isWhole || pending.bytes >= node.settings.bodyBufferBytes)) submit()
    }

    private fun submit() {
        isSubmitted = true
        submittedMicros = node.nowMicros()
        val request = slotRequest()
        var immediate: (() -> Unit)? = null
        val submitted =
            node.admission.submit(request, node.nowMicros(), node.nowMillis()) { refusal ->
                if (loop.inEventLoop() &&
                    ticket == null
                ) {
                    immediate = { onDecided(refusal) }
                } else {
                    loop.execute { onDecided(refusal) }
                }
            }
        ticket = submitted
        immediate?.invoke()
        node.coldGuard?.check(loop)
    }

    private fun slotRequest(): SlotRequest {
        val config = route.config
        return SlotRequest(
            member = route.service.config.member,
            route = route.id,
            callClass = config.callClass,
            deadlineMillis = deadlineMillis,
            rank = tenantPriority() ?: config.priority ?: config.callClass.ordinal,
            usefulUntilMillis = deadlines.usefulMillis,
            tenant = tenant,
        )
    }

    private fun tenantPriority(): Int? =
        tenant?.let {
            node
                .tables()
                .tenants.configs[it]
                ?.priority
        }

    private fun onDecided(refusal: Refusal?) {
        if (isEnded) return
        if (refusal != null) return finish(node.failureOf(refusal))
        isSlotHeld = true
        startLoadPermille = node.admission.loadPermille
        val text = head?.headers()?.get(MeshHeaders.KEY)
        if (text == null || route.config.idempotent) return send()
        node.claims.claim(text, deadlineMillis, node.nowMillis()) { decision ->
            if (loop.inEventLoop()) onClaim(text, decision) else loop.execute { onClaim(text, decision) }
        }
    }

    private fun onClaim(
        text: String,
        decision: KeyDecision,
    ) {
        if (decision is KeyDecision.Granted) key = ClaimedKey(node.claims, text, node.settings.maxStoredResponseBytes)
        if (isEnded) {
            key?.release()
            return
        }
        when (decision) {
            is KeyDecision.Granted -> send()
            is KeyDecision.Answered -> respondWithStored(decision.response)
            is KeyDecision.Used -> finish(conflict(FailureReason.KEY_USED, CallOutcome.UNKNOWN))
            is KeyDecision.Expired -> finish(conflict(FailureReason.KEY_EXPIRED, CallOutcome.NOT_RUN))
            is KeyDecision.Unavailable -> finish(CallFailure.notRun(FailureReason.CLAIMS_UNAVAILABLE))
        }
    }

    private fun conflict(
        reason: FailureReason,
        outcome: CallOutcome,
    ) = CallFailure(HttpResponseStatus.CONFLICT, outcome, reason)

    private fun send() {
        val request = head ?: return
        val pool = node.pools(loop).target
        if (pool == null) return finish(CallFailure.notRun(FailureReason.WRONG_TARGET))
        // The order may have arrived while the call waited for its slot.
        if (node.isEvacuated) return finish(CallFailure.notRun(FailureReason.EVACUATED))
        if (node.nowMillis() >= deadlineMillis) return finish(CallFailure.deadlinePassed(mayHaveRun = false))
        startMicros = node.nowMicros()
        val call = UpstreamCall(pool, callId, FailureReason.TARGET_UNREACHABLE, node.settings.protocol, this)
        upstream = call
        call.start(request)
        pending.drain(call::body)
        call.flush()
    }

    private fun targetMetadata(request: HttpRequest): TargetMetadata {
        val deadline = deadlineMillis - node.settings.hopMarginMillis
        val left = (deadline - node.nowMillis()).coerceAtLeast(1)
        val caller = request.headers().get(MeshHeaders.CALLER)?.let(::ServiceId)
        return TargetMetadata(callId, deadline, left, node.self.target?.instance, caller, tenant)
    }

    private fun respondWithStored(response: StoredResponse) {
        isEnded = true
        freeSlot(isMeasured = false)
        pending.clear()
        listener.onResponseHead(storedHead(response))
        listener.onResponseBody(storedBody(response))
    }

    /** Ends the call with an error before anything was sent. */
    private fun finish(failure: CallFailure) {
        isEnded = true
        node.logRefusal(callId, route, failure, deadlines)
        pending.clear()
        freeSlot(isMeasured = false)
        key?.release()
        listener.onFailure(failure)
    }

    override fun flush() {
        upstream?.flush()
    }

    override fun setReading(isReading: Boolean) {
        upstream?.setReading(isReading)
    }

    override fun cancel() {
        if (isEnded) return
        isEnded = true
        isDetached = true
        pending.clear()
        val call = upstream
        if (call == null) {
            ticket?.let(::endTicket)
            return
        }
        key?.fail(call.mayHaveRun)
        if (node.nowMillis() >= deadlineMillis && call.mayHaveRun) record(TargetResult.ERROR)
        call.cancel()
    }

    override fun abandon() {
        isDetached = true
        if (upstream == null) cancel() else upstream?.abandon()
    }

    /** Writes the remaining time only now, since the call may have waited for a connection. */
    override fun onSending() {
        head?.let(::writeTargetHead)
        val connectionMicros = node.nowMicros() - startMicros
        node.coldGuard?.onSending(connectionMicros)
        node.logDelay(callId, "owner", startMicros - submittedMicros, connectionMicros)
    }

    /** Removes credentials again, since an entry node with an older configuration may have forwarded them. */
    private fun writeTargetHead(head: HttpRequest) {
        val protocol = node.settings.protocol
        if (tenant != null || node.tables().tenants.isKeyRequired) protocol.removeCredentials(head.headers())
        protocol.writeTargetMetadata(head.headers(), targetMetadata(head))
    }

    override fun onResponseHead(head: HttpResponse) {
        val code = head.status().code()
        val metadata = checkNotNull(upstream).responseMetadata
        node.targetEstimate.onMetadata(metadata)
        if (metadata.isNotRun) return onTargetRefusal(metadata)
        result = resultOf(code)
        if (!HttpUtil.isContentLengthSet(head) && !HttpUtil.isTransferEncodingChunked(head)) {
            HttpUtil.setTransferEncodingChunked(head, mayHaveBody(code))
        }
        head.headers().remove(MeshHeaders.OUTCOME)
        head.headers().remove(MeshHeaders.REASON)
        head.headers().set(MeshHeaders.RELEASE, release.value)
        head.headers().set(MeshHeaders.LOAD, node.admission.loadPermille)
        head.headers().set(MeshHeaders.CALL, callId)
        head.headers().removeHopByHop()
        head.headers().setEstimate(node.targetEstimate.current())
        key?.onHead(head)
        if (!isDetached) listener.onResponseHead(head)
    }

    /** Discards the rest of the response, within limits, so that the connection stays usable. */
    private fun onTargetRefusal(metadata: ResponseMetadata) {
        isEnded = true
        if (!metadata.isMisdirected) record(TargetResult.SHED)
        key?.fail(mayHaveRun = false)
        val reason = if (metadata.isMisdirected) FailureReason.WRONG_TARGET else FailureReason.TARGET_REFUSED
        val wasDetached = isDetached
        isDetached = true
        val failure = CallFailure.notRun(reason).copy(estimate = node.targetEstimate.current())
        node.logRefusal(callId, route, failure, deadlines)
        upstream?.abandon()
        if (!wasDetached) listener.onFailure(failure)
    }

    private fun mayHaveBody(code: Int) = code != NO_CONTENT && code != NOT_MODIFIED && head?.method() != HttpMethod.HEAD

    private fun resultOf(code: Int): TargetResult =
        when {
            code == TOO_MANY_REQUESTS || code == UNAVAILABLE -> {
                if (startLoadPermille >= SHED_LOAD_PERMILLE) TargetResult.SHED else TargetResult.ERROR
            }

            code >= SERVER_ERRORS -> {
                TargetResult.ERROR
            }

            else -> {
                TargetResult.SUCCESS
            }
        }

    override fun onResponseBody(content: HttpContent) {
        key?.onBody(content)
        if (content is LastHttpContent && !isEnded) {
            isEnded = true
            record(result ?: TargetResult.ERROR)
            key?.finish()
        }
        if (isDetached) content.release() else listener.onResponseBody(content)
    }

    override fun onResponseReadComplete() {
        if (!isDetached) listener.onResponseReadComplete()
    }

    override fun onWritabilityChanged() {
        if (!isDetached) listener.onWritabilityChanged()
    }

    override fun onFailure(failure: CallFailure) {
        isEnded = true
        // The other failures come from this node's own limits, and say nothing about the release.
        if (failure.reason.health != CallHealth.NEUTRAL) record(TargetResult.ERROR)
        key?.fail(failure.outcome == CallOutcome.UNKNOWN)
        node.logRefusal(callId, route, failure, deadlines)
        if (!isDetached) listener.onFailure(failure)
    }

    override fun onReleased() {
        if (result == TargetResult.SUCCESS) node.targetEstimate.onServed(route.id, node.nowMicros() - startMicros)
        freeSlot(isMeasured = result != null)
    }

    private fun record(result: TargetResult) {
        node.recorder.recordTarget(route, release, result, node.nowMicros() - startMicros)
    }

    private fun endTicket(waiting: Ticket) {
        node.admission.end(waiting, node.nowMicros(), node.nowMillis(), isMeasured = false)
    }

    private fun freeSlot(isMeasured: Boolean) {
        val held = ticket ?: return
        if (!isSlotHeld) return
        isSlotHeld = false
        node.admission.end(held, node.nowMicros(), node.nowMillis(), isMeasured)
        node.coldGuard?.check(loop)
    }

    private companion object {
        const val NO_CONTENT = 204
        const val NOT_MODIFIED = 304
        const val TOO_MANY_REQUESTS = 429
        const val UNAVAILABLE = 503
        const val SERVER_ERRORS = 500

        /** Load from which on a refusal (429 or 503) by the target counts as load shedding and not as an error. */
        const val SHED_LOAD_PERMILLE = 500
    }
}
