package dev.baobabhollow.proxy

import io.netty.channel.ChannelFuture
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.LastHttpContent

/** Sends one request over a pooled connection and passes the responseMetadata to [listener]. */
internal class UpstreamCall(
    private val pool: ConnectionPool,
    private val callId: String,
    private val unreachable: FailureReason,
    private val protocol: CallProtocol,
    private val listener: ResponseListener,
) : Attempt {
    private enum class State { CONNECTING, OPEN, DISCARDING, ENDED }

    private var state = State.CONNECTING
    private var connection: UpstreamConnection? = null
    private val pending = PendingBody()
    private var isStarted = false
    private var headWrite: ChannelFuture? = null
    private var discardedBytes = 0L

    /** True once the head of the request has been written. */
    val isRequestStarted: Boolean get() = isStarted

    /** True once the whole request has been written. */
    var isRequestDone = false
        private set

    /** Asks the write itself, because its listeners can be told later. */
    override val mayHaveRun: Boolean get() = headWrite?.isSuccess == true

    override val isWritable: Boolean
        get() = connection?.channel?.isWritable ?: pending.isEmpty

    override fun start(head: HttpRequest) {
        pool.acquire { acquired, failure -> onConnection(head, acquired, failure) }
    }

    private fun onConnection(
        head: HttpRequest,
        acquired: UpstreamConnection?,
        failure: FailureReason?,
    ) {
        if (state == State.ENDED) {
            acquired?.let(pool::release)
            return
        }
        if (acquired == null) {
            state = State.ENDED
            pending.clear()
            listener.onFailure(CallFailure.notRun(failure ?: unreachable))
            listener.onReleased()
            return
        }
        connection = acquired
        state = State.OPEN
        acquired.begin(this, head.method())
        isStarted = true
        listener.onSending()
        // Only a head that was written in full can be run; until the write succeeds the call has not been handed over.
        val write = acquired.channel.write(head)
        headWrite = write
        write.addListener { if (!it.isSuccess) acquired.channel.close() }
        pending.drain(::write)
        flush()
        listener.onWritabilityChanged()
    }

    override fun body(content: HttpContent) {
        when (state) {
            State.CONNECTING -> pending.add(content)
            State.OPEN -> write(content)
            else -> content.release()
        }
    }

    private fun write(content: HttpContent) {
        val channel = connection?.channel
        if (channel == null) {
            content.release()
            return
        }
        if (content is LastHttpContent) isRequestDone = true
        channel.write(content, channel.voidPromise())
    }

    override fun flush() {
        connection?.channel?.flush()
    }

    override fun setReading(isReading: Boolean) {
        if (state == State.OPEN) connection?.setReading(isReading)
    }

    override fun cancel() {
        if (state == State.ENDED) return
        val wasConnecting = state == State.CONNECTING
        state = State.ENDED
        pending.clear()
        if (wasConnecting) listener.onReleased() else connection?.end(isReusable = false)
    }

    override fun abandon() {
        if (state == State.DISCARDING) return
        if (state != State.OPEN || !isRequestDone) return cancel()
        state = State.DISCARDING
        connection?.setReading(true)
        pool.schedule(DISCARD_MILLIS) { if (state == State.DISCARDING) cancel() }
    }

    /** What the head of the latest responseMetadata states. */
    var responseMetadata = ResponseMetadata(callId = null)
        private set

    /** Reads [head] and tells whether it can be that of the responseMetadata to this call. */
    fun accepts(head: HttpResponse): Boolean {
        responseMetadata = protocol.readResponseMetadata(head)
        val echoed = responseMetadata.callId ?: return true
        return echoed == callId
    }

    /** True if an responseMetadata to another call may be dropped while the one to this call is awaited. */
    val skipsMismatchedResponses: Boolean get() = protocol.skipsMismatchedResponses

    /** True if an responseMetadata without a stated length is whole when the connection ends without a reset. */
    val allowsCloseDelimitedResponses: Boolean get() = protocol.allowsCloseDelimitedResponses

    fun onHead(head: HttpResponse) {
        if (state == State.OPEN) listener.onResponseHead(head)
    }

    fun onBody(content: HttpContent) {
        if (state != State.OPEN) {
            discard(content)
            return
        }
        if (content is LastHttpContent) state = State.ENDED
        listener.onResponseBody(content)
    }

    private fun discard(content: HttpContent) {
        discardedBytes += content.content().readableBytes()
        content.release()
        if (discardedBytes > MAX_DISCARDED_BYTES) connection?.end(isReusable = false)
    }

    fun onReadComplete() {
        if (state == State.OPEN) listener.onResponseReadComplete()
    }

    fun onWritabilityChanged() {
        if (state == State.OPEN) listener.onWritabilityChanged()
    }

    fun onReleased() {
        state = State.ENDED
        listener.onReleased()
    }

    /** Ends the call without a whole responseMetadata. */
    fun fail(reason: FailureReason) {
        val wasOpen = state == State.OPEN
        state = State.ENDED
        pending.clear()
        connection?.end(isReusable = false)
        if (!wasOpen) return
        val failure = if (mayHaveRun) CallFailure.unknown(reason) else CallFailure.notRun(reason)
        listener.onFailure(failure)
    }

    private companion object {
        /** Reading a longer rest costs more than a new connection. */
        const val MAX_DISCARDED_BYTES = 65_536L

        /** A slot is held until the rest of the responseMetadata is there, and most answers are whole within this time. */
        const val DISCARD_MILLIS = 1_000L
    }
}
