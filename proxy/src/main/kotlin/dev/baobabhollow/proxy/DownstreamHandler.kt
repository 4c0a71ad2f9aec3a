package dev.baobabhollow.proxy

import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.channel.EventLoop
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaderValues
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.LastHttpContent
import io.netty.handler.timeout.IdleStateEvent
import io.netty.util.ReferenceCountUtil
import java.io.IOException
import java.util.concurrent.TimeUnit

/** One request and its response, handled on the event loop of the downstream connection. */
internal interface Exchange {
    /** False while the request body should not be read on. */
    val isWritable: Boolean

    /** Receives a part of the request body and takes ownership of its buffer. */
    fun onRequestBody(content: HttpContent)

    fun onRequestReadComplete()

    /** Called when the downstream connection becomes writable or stops being so. */
    fun onDownstreamWritability(isWritable: Boolean)

    /** Called when the caller has disconnected or has sent a malformed body. No response can be sent. */
    fun onDownstreamClosed()
}

/** Serves the requests of one downstream connection sequentially. */
internal class DownstreamHandler(
    private val node: NodeCore,
    private val encoder: CallerResponseEncoder,
    private val protocol: CallProtocol,
    private val open: (DownstreamHandler, HttpRequest) -> Exchange,
) : ChannelInboundHandlerAdapter() {
    private lateinit var context: ChannelHandlerContext
    private var exchange: Exchange? = null

    /** Call metadata of the current request. */
    var caller = CallerMetadata(callId = null, deadlineMillis = null)
        private set
    private val pipelined = ArrayDeque<Any>(0)
    private var isRequestDone = true
    private var isKeptAlive = true
    private var isResponseStarted = false
    private var isDiscarding = false
    private var isEndToSkip = false
    private var isProcessingQueue = false

    /** True while a request that a lagging event loop has read waits for a possible close of its connection. */
    private var isHeld = false
    private var isClosed = false

    val loop: EventLoop get() = context.channel().eventLoop()
    val isWritable: Boolean get() = context.channel().isWritable

    override fun handlerAdded(ctx: ChannelHandlerContext) {
        context = ctx
    }

    override fun channelRead(
        ctx: ChannelHandlerContext,
        message: Any,
    ) {
        val isQueued = isHeld || pipelined.isNotEmpty() || (exchange != null && isRequestDone)
        when {
            isEndToSkip && message is LastHttpContent -> skipEnd(message)
            isDiscarding || isClosed -> discard(message)
            isQueued -> pipelined.addLast(message)
            message is HttpRequest && node.isLagging(loop) -> hold(message)
            else -> receive(message)
        }
    }

    /**
     * Holds [request] until the event loop has read all connections once more. The caller may have disconnected during
     * the lag, and the close of a connection is read one loop iteration after its last request.
     */
    private fun hold(request: HttpRequest) {
        isHeld = true
        // Counted as in flight, so that draining waits for the held request too.
        node.exchangeStarted()
        pipelined.addLast(request)
        afterNextIteration(::releaseHeld)
    }

    /** Runs [step] after the event loop has read all connections once more, which two nested scheduled tasks ensure. */
    fun afterNextIteration(step: () -> Unit) {
        loop.schedule({ loop.schedule(step, 0, TimeUnit.MILLISECONDS) }, 0, TimeUnit.MILLISECONDS)
    }

    private fun releaseHeld() {
        isHeld = false
        if (!isClosed && context.channel().isActive) processQueue()
        node.exchangeEnded()
    }

    private fun skipEnd(message: LastHttpContent) {
        isEndToSkip = false
        message.release()
    }

    private fun receive(message: Any) {
        if (message is HttpRequest) receiveHead(message)
        if (message is HttpContent) receiveBody(message)
    }

    private fun receiveHead(head: HttpRequest) {
        val isWhole = head !is LastHttpContent && !HttpUtil.isTransferEncodingChunked(head) && lengthOf(head) == 0L
        isRequestDone = isWhole
        isEndToSkip = isWhole
        isResponseStarted = false
        isKeptAlive = HttpUtil.isKeepAlive(head)
        encoder.method = head.method()
        caller = protocol.readCallerMetadata(head.headers(), node.nowMillis())
        node.exchangeStarted()
        exchange = PENDING
        val opened = open(this, head)
        if (exchange === PENDING) exchange = opened
        // A request without a body is complete here, so that an immediate response can keep the connection alive.
        if (isWhole) exchange?.onRequestBody(LastHttpContent.EMPTY_LAST_CONTENT)
    }

    private fun lengthOf(head: HttpRequest): Long = HttpUtil.getContentLength(head, 0L)

    private fun receiveBody(content: HttpContent) {
        if (content is LastHttpContent) isRequestDone = true
        val current = exchange
        if (current == null) {
            content.release()
            return
        }
        if (content.decoderResult().isFailure) {
            content.release()
            closeAbruptly()
            return
        }
        current.onRequestBody(content)
    }

    /** Sends `100 Continue` if [request] expects it. */
    fun sendContinue(request: HttpRequest) {
        if (!HttpUtil.is100ContinueExpected(request)) return
        context.writeAndFlush(continueResponse())
    }

    override fun channelReadComplete(ctx: ChannelHandlerContext) {
        exchange?.onRequestReadComplete()
        updateReading()
    }

    /** Enables reading unless the exchange cannot accept more data or another request is queued. */
    fun updateReading() {
        if (isClosed) return
        val isReading =
            isDiscarding || isHeld || (pipelined.isEmpty() && (isRequestDone || exchange?.isWritable != false))
        val config = context.channel().config()
        if (config.isAutoRead != isReading) config.isAutoRead = isReading
    }

    /** Writes the head of the response. */
    fun writeResponseHead(head: HttpResponse) {
        isResponseStarted = true
        if (!isRequestDone || node.isClosing) isKeptAlive = false
        if (!isKeptAlive) head.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE)
        context.write(head, context.voidPromise())
    }

    /** Writes a part of the response body and takes ownership of its buffer. The last part ends the exchange. */
    fun writeResponseBody(content: HttpContent) {
        if (content !is LastHttpContent) {
            context.write(content, context.voidPromise())
            return
        }
        exchange = null
        val written = context.writeAndFlush(content)
        node.exchangeEnded()
        when {
            isKeptAlive && isRequestDone -> processQueue()
            isRequestDone -> written.addListener { context.close() }
            else -> linger()
        }
    }

    /** Writes an error response, or closes the connection if a response has been started. */
    fun writeFailureResponse(failure: CallFailure) {
        if (isResponseStarted) return closeAbruptly()
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
        context.close()
    }

    fun flush() {
        context.flush()
    }

    private fun processQueue() {
        if (isProcessingQueue) return
        isProcessingQueue = true
        while (pipelined.isNotEmpty()) {
            val message = pipelined.first()
            if (isEndToSkip && message is LastHttpContent) {
                skipEnd(pipelined.removeFirst() as LastHttpContent)
                continue
            }
            if (exchange != null && isRequestDone) break
            receive(pipelined.removeFirst())
        }
        isProcessingQueue = false
        exchange?.onRequestReadComplete()
        updateReading()
    }

    private fun linger() {
        isDiscarding = true
        updateReading()
        loop.schedule({ context.close() }, node.settings.lingerMillis, TimeUnit.MILLISECONDS)
    }

    private fun discard(message: Any) {
        val isEnd = message is LastHttpContent
        ReferenceCountUtil.release(message)
        if (isEnd) context.close()
    }

    override fun channelWritabilityChanged(ctx: ChannelHandlerContext) {
        exchange?.onDownstreamWritability(ctx.channel().isWritable)
    }

    override fun channelInactive(ctx: ChannelHandlerContext) {
        isClosed = true
        pipelined.forEach { ReferenceCountUtil.release(it) }
        pipelined.clear()
        val current = exchange ?: return
        exchange = null
        node.exchangeEnded()
        current.onDownstreamClosed()
    }

    override fun userEventTriggered(
        ctx: ChannelHandlerContext,
        event: Any,
    ) {
        if (event is IdleStateEvent && exchange == null) ctx.close()
    }

    @Deprecated("Overrides a deprecated function of ChannelHandler")
    override fun exceptionCaught(
        ctx: ChannelHandlerContext,
        cause: Throwable,
    ) {
        if (cause !is IOException) node.logUnexpected(cause)
        ctx.close()
    }

    private companion object {
        const val SERVER_ERRORS = 500

        /** Placeholder for an exchange that is being opened, because it can end before it is assigned. */
        val PENDING =
            object : Exchange {
                override val isWritable = true

                override fun onRequestBody(content: HttpContent) {
                    content.release()
                }

                override fun onRequestReadComplete() = Unit

                override fun onDownstreamWritability(isWritable: Boolean) = Unit

                override fun onDownstreamClosed() = Unit
            }
    }
}
