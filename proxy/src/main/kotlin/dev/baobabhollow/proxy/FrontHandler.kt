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

/** Handles one request and its answer on the event loop of its connection. */
internal interface Exchange {
    /** False while the request body should not be read on. */
    val isWritable: Boolean

    /** Receives a part of the request body with its reference. */
    fun onRequestBody(content: HttpContent)

    fun onRequestReadComplete()

    /** Tells that the caller takes more of the answer, or less. */
    fun onFrontWritability(isWritable: Boolean)

    /** Tells that the caller is gone or has sent a malformed body. No answer can be sent. */
    fun onFrontClosed()
}

/** Serves the requests of one connection one after the other. */
internal class FrontHandler(
    private val node: NodeCore,
    private val encoder: CallerResponseEncoder,
    private val protocol: CallProtocol,
    private val open: (FrontHandler, HttpRequest) -> Exchange,
) : ChannelInboundHandlerAdapter() {
    private lateinit var context: ChannelHandlerContext
    private var exchange: Exchange? = null

    /** What the caller of the present request states. */
    var caller = CallerFacts(callId = null, deadlineMillis = null)
        private set
    private val pipelined = ArrayDeque<Any>(0)
    private var isRequestDone = true
    private var isKeptAlive = true
    private var isAnswering = false
    private var isDiscarding = false
    private var isEndToSkip = false
    private var isTakingNext = false

    /** True while a request that a late event loop has read waits for what else its connection holds. */
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
            message is HttpRequest && node.isLate(loop) -> hold(message)
            else -> receive(message)
        }
    }

    /**
     * Keeps [request] until the event loop has read all connections once more. Its caller may have left while the loop was
     * late, and the end of a connection is read one round after its last request.
     */
    private fun hold(request: HttpRequest) {
        isHeld = true
        // A stop must wait for it like for a call.
        node.exchangeStarted()
        pipelined.addLast(request)
        afterNextRound(::releaseHeld)
    }

    /** Runs [step] after the event loop has read all connections once more; a task that another one schedules does so. */
    fun afterNextRound(step: () -> Unit) {
        loop.schedule({ loop.schedule(step, 0, TimeUnit.MILLISECONDS) }, 0, TimeUnit.MILLISECONDS)
    }

    private fun releaseHeld() {
        isHeld = false
        if (!isClosed && context.channel().isActive) next()
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
        isAnswering = false
        isKeptAlive = HttpUtil.isKeepAlive(head)
        encoder.method = head.method()
        caller = protocol.readCaller(head.headers(), node.nowMillis())
        node.exchangeStarted()
        exchange = PENDING
        val opened = open(this, head)
        if (exchange === PENDING) exchange = opened
        // Without a body the request is whole, so that an answer that comes at once can keep the connection.
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

    /** Sends `100 Continue` if [request] asks for it. */
    fun sendContinue(request: HttpRequest) {
        if (!HttpUtil.is100ContinueExpected(request)) return
        context.writeAndFlush(continueAnswer())
    }

    override fun channelReadComplete(ctx: ChannelHandlerContext) {
        exchange?.onRequestReadComplete()
        updateReading()
    }

    /** Reads on unless the exchange cannot take more or another request waits. */
    fun updateReading() {
        if (isClosed) return
        val isReading =
            isDiscarding || isHeld || (pipelined.isEmpty() && (isRequestDone || exchange?.isWritable != false))
        val config = context.channel().config()
        if (config.isAutoRead != isReading) config.isAutoRead = isReading
    }

    /** Writes the head of the answer. */
    fun answerHead(head: HttpResponse) {
        isAnswering = true
        if (!isRequestDone || node.isClosing) isKeptAlive = false
        if (!isKeptAlive) head.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE)
        context.write(head, context.voidPromise())
    }

    /** Writes a part of the answer's body and takes over its reference. The last part ends the exchange. */
    fun answerBody(content: HttpContent) {
        if (content !is LastHttpContent) {
            context.write(content, context.voidPromise())
            return
        }
        exchange = null
        val written = context.writeAndFlush(content)
        node.exchangeEnded()
        when {
            isKeptAlive && isRequestDone -> next()
            isRequestDone -> written.addListener { context.close() }
            else -> linger()
        }
    }

    /** Writes an error instead of an answer, or closes the connection if the answer has begun. */
    fun answerFailure(failure: CallFailure) {
        if (isAnswering) return closeAbruptly()
        if (failure.status.code() < SERVER_ERRORS && !isRequestDone) isKeptAlive = false
        val body = failureBody(failure)
        answerHead(failureHead(failure, body.content().readableBytes(), caller.callId, protocol))
        answerBody(body)
    }

    /** Writes an error to bytes that are no valid request and closes the connection. */
    fun refuseMalformed(failure: CallFailure) {
        isKeptAlive = false
        answerFailure(failure)
    }

    /** Closes the connection so that the caller cannot take what it got for a whole answer. */
    fun closeAbruptly() {
        context.close()
    }

    fun flush() {
        context.flush()
    }

    private fun next() {
        if (isTakingNext) return
        isTakingNext = true
        while (pipelined.isNotEmpty()) {
            val message = pipelined.first()
            if (isEndToSkip && message is LastHttpContent) {
                skipEnd(pipelined.removeFirst() as LastHttpContent)
                continue
            }
            if (exchange != null && isRequestDone) break
            receive(pipelined.removeFirst())
        }
        isTakingNext = false
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
        exchange?.onFrontWritability(ctx.channel().isWritable)
    }

    override fun channelInactive(ctx: ChannelHandlerContext) {
        isClosed = true
        pipelined.forEach { ReferenceCountUtil.release(it) }
        pipelined.clear()
        val current = exchange ?: return
        exchange = null
        node.exchangeEnded()
        current.onFrontClosed()
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

        /** Stands for an exchange while it is being opened, because it can end before it is assigned. */
        val PENDING =
            object : Exchange {
                override val isWritable = true

                override fun onRequestBody(content: HttpContent) {
                    content.release()
                }

                override fun onRequestReadComplete() = Unit

                override fun onFrontWritability(isWritable: Boolean) = Unit

                override fun onFrontClosed() = Unit
            }
    }
}
