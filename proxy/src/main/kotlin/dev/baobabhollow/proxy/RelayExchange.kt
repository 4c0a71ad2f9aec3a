package dev.baobabhollow.proxy

import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.LastHttpContent
import io.netty.util.concurrent.ScheduledFuture
import java.util.concurrent.TimeUnit

/** Relays a request to an attempt and its response to [downstream] until [deadlineMillis]. */
internal abstract class RelayExchange(
    protected val node: NodeCore,
    protected val downstream: DownstreamCall,
    protected val deadlineMillis: Long,
) : Exchange,
    ResponseListener {
    protected var attempt: Attempt? = null
    protected var isEnded = false

    /** True if an earlier attempt may have been executed, so that the call can no longer be reported as "not run". */
    protected var hasEarlierRun = false
    private var requestBytes = 0L
    private var timer: ScheduledFuture<*>? = null

    /** Value of the label `leg` in the metrics. */
    protected abstract val leg: String

    protected fun startTimer() {
        if (isEnded) return
        val delay = (deadlineMillis - node.nowMillis()).coerceAtLeast(0)
        timer = downstream.loop.schedule({ onDeadline() }, delay, TimeUnit.MILLISECONDS)
    }

    override val isWritable: Boolean get() = attempt?.isWritable ?: true

    override fun onRequestBody(content: HttpContent) {
        requestBytes += content.content().readableBytes()
        if (requestBytes > node.settings.maxRequestBodyBytes) {
            content.release()
            return failBeforeAnswer(FailureReason.BODY_TOO_LARGE)
        }
        forward(content)
    }

    protected open fun forward(content: HttpContent) {
        attempt?.body(content) ?: content.release()
    }

    override fun onRequestReadComplete() {
        attempt?.flush()
    }

    override fun onDownstreamWritability(isWritable: Boolean) {
        attempt?.setReading(isWritable)
    }

    override fun onStopping() {
        val mayHaveRun = attempt?.mayHaveRun == true
        fail(
            if (mayHaveRun) CallFailure.unknown(FailureReason.DRAINING) else CallFailure.notRun(FailureReason.DRAINING),
        )
    }

    override fun onDownstreamClosed() {
        if (isEnded) return
        cancelAttempt()
        end()
        onEnd(null, CallFailure.unknown(FailureReason.CANCELLED))
    }

    override fun onWritabilityChanged() = downstream.updateReading()

    override fun onResponseHead(head: HttpResponse) {
        downstream.writeResponseHead(head)
        if (!downstream.isWritable) attempt?.setReading(false)
    }

    override fun onResponseBody(content: HttpContent) {
        if (content is LastHttpContent) {
            end()
            onEnd(null, null)
        }
        downstream.writeResponseBody(content)
    }

    override fun onResponseReadComplete() = downstream.flush()

    override fun onFailure(failure: CallFailure) = fail(failure)

    /** Ends the exchange with [failure] as its response. */
    protected fun fail(failure: CallFailure) {
        if (isEnded) return
        cancelAttempt()
        end()
        val known = if (hasEarlierRun) failure.mayHaveRun() else failure
        node.metrics.countFailure(leg, known)
        onEnd(known.status.code(), known)
        downstream.writeFailureResponse(known)
    }

    private fun failBeforeAnswer(reason: FailureReason) {
        val status = HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE
        val outcome = if (attempt?.mayHaveRun == true) CallOutcome.UNKNOWN else CallOutcome.NOT_RUN
        fail(CallFailure(status, outcome, reason))
    }

    private fun onDeadline() = fail(CallFailure.deadlinePassed(mayHaveRun = attempt?.mayHaveRun == true))

    private fun cancelAttempt() {
        attempt?.cancel()
    }

    private fun end() {
        isEnded = true
        timer?.cancel(false)
        release()
    }

    /** Releases the buffers of the exchange. */
    protected open fun release() = Unit

    /** Called once, with the status and failure of a generated error, or with nulls after a complete response. */
    protected abstract fun onEnd(
        status: Int?,
        failure: CallFailure?,
    )
}
