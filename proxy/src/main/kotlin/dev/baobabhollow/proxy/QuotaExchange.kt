package dev.baobabhollow.proxy

import dev.baobabhollow.calls.QuotaDecision
import dev.baobabhollow.calls.QuotaKey
import dev.baobabhollow.calls.QuotaWaiter
import dev.baobabhollow.model.TenantId
import io.netty.handler.codec.http.HttpContent
import io.netty.util.concurrent.ScheduledFuture
import java.util.concurrent.TimeUnit

/**
 * A request that waits for a token of its tenant's quota, without blocking the event loop, and is then passed on to the
 * exchange that [forward] starts. While it waits, its body is read so that a caller that disconnects is noticed, and
 * what was read counts as held memory.
 */
internal class QuotaExchange(
    private val node: NodeCore,
    private val downstream: DownstreamCall,
    private val tenant: TenantId,
    private val key: QuotaKey,
    private val deadlineMillis: Long,
    private val forward: () -> Exchange,
) : Exchange {
    private val body = PendingBody(node.memory)
    private var next: Exchange? = null
    private var waiter: QuotaWaiter? = null
    private var timer: ScheduledFuture<*>? = null

    /** True once the request was passed on or refused, or its caller has left. */
    private var isDecided = false

    /** Returns the exchange of the request: this one if it has to wait. */
    fun start(): Exchange {
        val decide: (QuotaDecision) -> Unit = { decision -> downstream.loop.execute { onDecision(decision) } }
        return when (val decision = node.quotas.take(key, { waiter = it }, decide)) {
            null -> waitUntilDeadline()
            is QuotaDecision.Granted -> startNext(decision)
            else -> respondNow(downstream) { refuse(decision) }
        }
    }

    override val isWritable: Boolean
        get() = next?.isWritable ?: (isDecided || node.memory.allowsReadAhead(body.bytes))

    override fun onRequestBody(content: HttpContent) {
        val started = next
        when {
            started != null -> started.onRequestBody(content)
            isDecided -> content.release()
            else -> body.add(content)
        }
    }

    override fun onRequestReadComplete() {
        next?.onRequestReadComplete()
    }

    override fun onDownstreamWritability(isWritable: Boolean) {
        next?.onDownstreamWritability(isWritable)
    }

    override fun onStopping() {
        val started = next
        if (started != null) return started.onStopping()
        fail(CallFailure.notRun(FailureReason.DRAINING))
    }

    override fun onDownstreamClosed() {
        val started = next
        if (started != null) return started.onDownstreamClosed()
        if (!isDecided) end()
    }

    private fun waitUntilDeadline(): Exchange {
        val delayMillis = (deadlineMillis - node.nowMillis()).coerceAtLeast(0)
        val onDeadline = Runnable { fail(CallFailure.deadlinePassed(mayHaveRun = false)) }
        timer = downstream.loop.schedule(onDeadline, delayMillis, TimeUnit.MILLISECONDS)
        return this
    }

    private fun onDecision(decision: QuotaDecision) {
        if (isDecided) {
            // The caller left, or the deadline passed, after the decision and before this event.
            if (decision is QuotaDecision.Granted) node.quotas.giveBack(decision.token)
            return
        }
        if (decision !is QuotaDecision.Granted) return refuse(decision)
        isDecided = true
        timer?.cancel(false)
        val started = startNext(decision)
        next = started
        body.drain(started::onRequestBody)
        started.onRequestReadComplete()
        downstream.updateReading()
    }

    private fun startNext(decision: QuotaDecision.Granted): Exchange {
        downstream.onNotRun = { node.quotas.giveBack(decision.token) }
        return forward()
    }

    private fun refuse(decision: QuotaDecision) {
        when (decision) {
            is QuotaDecision.Denied -> fail(CallFailure.overQuota(decision.retryMillis))
            is QuotaDecision.Unavailable -> fail(CallFailure.quotaUnknown(decision.retryMillis))
            is QuotaDecision.Granted -> error("a granted request is not refused")
        }
    }

    private fun fail(failure: CallFailure) {
        if (isDecided) return
        end()
        node.metrics.countFailure("entry", failure)
        node.logQuotaRefusal(downstream.caller.callId, tenant, failure)
        downstream.writeFailureResponse(failure)
        downstream.flush()
    }

    private fun end() {
        isDecided = true
        waiter?.cancel()
        timer?.cancel(false)
        body.clear()
    }
}
