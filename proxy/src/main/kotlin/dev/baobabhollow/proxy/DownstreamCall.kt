package dev.baobabhollow.proxy

import io.netty.channel.EventLoop
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaderValues
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.LastHttpContent

/**
 * One request of a downstream connection and its response. The response is written once those to all earlier requests
 * of the connection are complete; until then its parts are buffered up to a limit.
 */
internal class DownstreamCall(
    private val connection: DownstreamHandler,
    private val node: NodeCore,
    private val protocol: CallProtocol,
    val head: HttpRequest,
    /** Call metadata as of the time at which the request was read. */
    val caller: CallerMetadata,
) {
    /** True if the request has no body. */
    val hasNoBody =
        head !is LastHttpContent && !HttpUtil.isTransferEncodingChunked(head) &&
            HttpUtil.getContentLength(head, 0L) == 0L

    /** True once the whole request has been received. */
    var isRequestDone = hasNoBody
        private set

    /** False if the connection is closed after the response. */
    var isKeptAlive = HttpUtil.isKeepAlive(head)
        private set

    /** True once a part of a response has been sent, which no other response can replace. */
    val isResponseSent: Boolean get() = isResponseStarted && isFirst

    /** True if the connection has to be closed in place of a response. */
    var isAborted = false
        private set

    /** True once the responses to all earlier requests are complete. */
    var isFirst = false
        private set
    private var exchange: Exchange? = null
    private var isResponseStarted = false
    private var isEnded = false

    /** The response, until those to all earlier requests are complete. */
    private var held: HeldResponse? = null

    /** Refusal of a request that was read and could not be held, or null. */
    var refusal: CallFailure? = null

    /** Called once if the call ends with a refusal that states that it has not run, or null. */
    var onNotRun: (() -> Unit)? = null

    /** Estimated memory of the head and of the objects of the call, in bytes. */
    val headBytes: Long = CALL_BYTES + head.uri().length + estimatedBytes(head.headers())

    val loop: EventLoop get() = connection.loop

    /** False while no more of the response should be read from the target. */
    val isWritable: Boolean
        get() = if (isFirst) connection.isWritable else held?.hasRoom != false

    /** False while no more of the request body should be read from the caller. */
    val acceptsBody: Boolean get() = isRequestDone || exchange?.isWritable != false

    /** Starts the exchange. It may end at once. */
    fun open(port: CallPort) {
        exchange = EndedExchange
        if (!isFirst) held = HeldResponse(node.memory, node.settings.maxBufferedResponseBytes)
        val opened =
            refusal?.let { failure -> respondNow(this) { writeFailureResponse(failure) } } ?: port.open(this, head)
        if (!isEnded) exchange = opened
        // A request without a body is complete here, so that an immediate response can keep the connection alive.
        if (hasNoBody) exchange?.onRequestBody(LastHttpContent.EMPTY_LAST_CONTENT)
    }

    /** Receives a part of the request body and takes ownership of its buffer. */
    fun onRequestBody(content: HttpContent) {
        if (content is LastHttpContent) isRequestDone = true
        val current = exchange
        when {
            current == null -> {
                content.release()
            }

            content.decoderResult().isFailure -> {
                content.release()
                closeAbruptly()
            }

            else -> {
                current.onRequestBody(content)
            }
        }
    }

    /** Called when the end of the request has been received and its body was discarded. */
    fun onRequestDiscarded() {
        isRequestDone = true
    }

    fun onRequestReadComplete() {
        exchange?.onRequestReadComplete()
    }

    fun onDownstreamWritability(isWritable: Boolean) {
        exchange?.onDownstreamWritability(isWritable)
    }

    /** Ends the call with a final response, because the node stops. */
    fun endOnStop() {
        exchange?.onStopping()
    }

    /** Ends the exchange without a response, because the connection has been or will be closed. */
    fun cancel() {
        dropBuffer()
        isEnded = true
        val current = exchange
        exchange = null
        current?.onDownstreamClosed()
    }

    /** Writes what is buffered, and writes all further parts at once. */
    fun promote() {
        isFirst = true
        val response = held ?: return
        held = null
        if (!response.passTo(::emit)) return
        flush()
        onDownstreamWritability(isWritable)
    }

    fun updateReading() = connection.updateReading()

    /** Sends `100 Continue` if the caller expects it. */
    fun sendContinue() {
        if (HttpUtil.is100ContinueExpected(head)) emit(continueResponse())
        flush()
    }

    /** Writes the head of the response. */
    fun writeResponseHead(response: HttpResponse) {
        isResponseStarted = true
        emit(response)
    }

    /** Writes a part of the response body and takes ownership of its buffer. The last part ends the exchange. */
    fun writeResponseBody(content: HttpContent) {
        if (content is LastHttpContent) {
            isEnded = true
            exchange = null
        }
        emit(content)
    }

    /** Writes an error response, or closes the connection if a part of another response has been sent. */
    fun writeFailureResponse(failure: CallFailure) {
        if (isResponseSent) return closeAbruptly()
        dropBuffer()
        if (failure.outcome == CallOutcome.NOT_RUN) onNotRun?.invoke()
        onNotRun = null
        if (failure.status.code() < SERVER_ERRORS && !isRequestDone) isKeptAlive = false
        val body = failureBody(failure)
        writeResponseHead(failureHead(failure, body.content().readableBytes(), caller.callId, protocol))
        writeResponseBody(body)
    }

    /** Writes an error response to a malformed request and closes the connection. */
    fun refuseMalformed(failure: CallFailure) {
        isKeptAlive = false
        writeFailureResponse(failure)
    }

    /** Closes the connection so that the caller does not take a truncated response for a complete one. */
    fun closeAbruptly() {
        isAborted = true
        connection.abort(this)
    }

    fun flush() {
        if (isFirst) connection.flush()
    }

    private fun emit(part: HttpObject) {
        if (!isFirst) return buffer(part)
        if (part is HttpResponse && part.status() != HttpResponseStatus.CONTINUE) prepareHead(part)
        connection.write(this, part)
    }

    private fun buffer(part: HttpObject) {
        checkNotNull(held) { "a response before its request was opened" }.add(part)
        if (!isWritable) exchange?.onDownstreamWritability(false)
    }

    /** A stopping node closes a connection after the response to the last request that it has read. */
    private fun prepareHead(response: HttpResponse) {
        if (!isRequestDone || (node.isClosing && connection.isLast(this))) isKeptAlive = false
        if (!isKeptAlive) response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE)
    }

    private fun dropBuffer() {
        held?.clear()
    }

    private companion object {
        const val SERVER_ERRORS = 500

        /** Estimate of the objects of a call on a 64-bit JVM: exchange, attempts, timers. */
        const val CALL_BYTES = 2_048L
    }
}
