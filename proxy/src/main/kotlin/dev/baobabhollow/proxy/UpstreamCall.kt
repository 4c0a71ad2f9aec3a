package dev.baobabhollow.proxy

import io.netty.channel.ChannelFuture
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.LastHttpContent

/** Sends one request over a pooled connection and passes the response to [listener]. */
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
    private val pending = PendingBody(pool.memory)
    private var isStarted = false
    private var headWrite: ChannelFuture? = null
    private var lastWrite: ChannelFuture? = null
    private var discardedBytes = 0L
    private var isEchoExpected = false

    /** True once the head of the request has been written. */
    val isRequestStarted: Boolean get() = isStarted

    /** True once the whole request has been written. */
    var isRequestDone = false
        private set

    /** True once the connection has taken the whole request. */
    val isRequestWritten: Boolean get() = lastWrite?.isSuccess == true

    /** Reads the state of the write itself, because its listeners may be notified later. */
    override val mayHaveRun: Boolean get() = headWrite?.isSuccess == true

    override val isWritable: Boolean
        get() = connection?.isWritable ?: (pending.isEmpty || pool.memory.allowsReadAhead(pending.bytes))

    override fun start(head: HttpRequest) {
        isEchoExpected = protocol.isCallIdEchoed(head.headers())
        acquire(head, REACQUIRES)
    }

    /**
     * Acquires a connection. While the event loop lags, the request is sent only after the loop has read all
     * connections once more: the caller may have disconnected during the lag, and the event that let the call proceed,
     * such as a free slot or a new connection, may be handled before that close.
     */
    private fun acquire(
        head: HttpRequest,
        reacquires: Int,
    ) {
        pool.acquire { acquired, failure ->
            if (acquired == null || !pool.isLagging()) {
                onConnection(head, acquired, failure)
            } else {
                pool.afterNextIteration { onConnectionAfterLag(head, acquired, reacquires) }
            }
        }
    }

    private fun onConnectionAfterLag(
        head: HttpRequest,
        acquired: UpstreamConnection,
        reacquires: Int,
    ) {
        val isClosed = state != State.ENDED && !acquired.isUsable
        if (isClosed && reacquires > 0) return acquire(head, reacquires - 1)
        onConnection(head, acquired.takeUnless { isClosed }, null)
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
            failUnsent(CallFailure.notRun(failure ?: unreachable))
            return
        }
        connection = acquired
        state = State.OPEN
        acquired.begin(this, head.method())
        isStarted = true
        listener.onSending()
        // A target can only execute a request whose head was fully written; before the write succeeds it is not run.
        val write = acquired.channel.write(head)
        headWrite = write
        write.addListener { if (!it.isSuccess) acquired.channel.close() }
        pending.drain(::write)
        flush()
        listener.onWritabilityChanged()
    }

    private fun failUnsent(failure: CallFailure) {
        state = State.ENDED
        pending.clear()
        listener.onFailure(failure)
        listener.onReleased()
    }

    override fun body(content: HttpContent) {
        when (state) {
            State.CONNECTING -> hold(content)
            State.OPEN -> write(content)
            else -> content.release()
        }
    }

    private fun hold(content: HttpContent) {
        if (content.content().isReadable && pool.memory.isFull) {
            content.release()
            failUnsent(CallFailure.memoryLimit())
        } else {
            pending.add(content)
        }
    }

    private fun write(content: HttpContent) {
        val channel = connection?.channel
        if (channel == null) {
            content.release()
            return
        }
        if (content !is LastHttpContent) {
            channel.write(content, channel.voidPromise())
            return
        }
        isRequestDone = true
        val write = channel.write(content)
        lastWrite = write
        write.addListener { if (!it.isSuccess) channel.close() }
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

    /** Call metadata of the latest response head. */
    var responseMetadata = ResponseMetadata(callId = null)
        private set

    /** Reads [head] and returns true if it is not the response to another call. */
    fun accepts(head: HttpResponse): Boolean {
        responseMetadata = protocol.readResponseMetadata(head)
        val echoed = responseMetadata.callId ?: return true
        return echoed == callId
    }

    /**
     * True if the accepted head is well-formed and names this call, where targets name it. A refusal without a name may
     * be a copy of an earlier one, while the target executes this call.
     */
    val isResponseGenuine: Boolean
        get() = responseMetadata.isWellFormed && (responseMetadata.callId != null || !isEchoExpected)

    /** True if a response to another call may be skipped while the response to this call is awaited. */
    val skipsMismatchedResponses: Boolean get() = protocol.skipsMismatchedResponses

    /** True if a response without a length is complete when the connection closes without a reset. */
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

    /** Ends the call without a complete response. */
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
        /** Connections that may be closed by the peer while a lagging event loop reads once more. */
        const val REACQUIRES = 1

        /** Discarding a longer rest costs more than a new connection. */
        const val MAX_DISCARDED_BYTES = 65_536L

        /** Bounds the time that a slot is held while the rest is discarded; most responses are complete by then. */
        const val DISCARD_MILLIS = 1_000L
    }
}
