package dev.baobabhollow.proxy

import io.netty.channel.ChannelFuture
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.channel.EventLoop
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.LastHttpContent
import io.netty.handler.timeout.IdleStateEvent
import io.netty.util.ReferenceCountUtil
import java.io.IOException
import java.util.concurrent.TimeUnit

/** Serves the requests of one downstream connection, and returns the responses in the order of the requests. */
internal class DownstreamHandler(
    private val node: NodeCore,
    private val decoder: StrictRequestDecoder,
    private val encoder: CallerResponseEncoder,
    private val meter: ConnectionMeter,
    private val port: CallPort,
) : ChannelInboundHandlerAdapter() {
    private lateinit var context: ChannelHandlerContext
    private lateinit var openConnections: OpenConnections<DownstreamHandler>

    /** Opened calls in the order of their requests. The response to the first one can be written. */
    private val calls = ArrayDeque<DownstreamCall>(1)

    /** Calls that have not been opened. */
    private val waiting = ArrayDeque<WaitingCall>(0)

    /** True if the end of a request without a body is the next message. */
    private var isEndToSkip = false
    private var isProcessing = false
    private var isNew = true

    /** True while the first request waits for a possible close of its connection. */
    private var isHeld = false

    /** True while the rest of a request whose response has been sent is read, before the connection is closed. */
    private var isLingering = false

    /** True once all that is read is discarded, because the connection is closed after the response to [lastCall]. */
    private var isInputEnded = false

    /** Call of the request that was read last. */
    private var lastCall: DownstreamCall? = null

    val loop: EventLoop get() = context.channel().eventLoop()
    val isWritable: Boolean get() = meter.isWritable

    override fun handlerAdded(ctx: ChannelHandlerContext) {
        context = ctx
    }

    override fun channelActive(ctx: ChannelHandlerContext) {
        openConnections = node.pools(loop).callers
        openConnections.opened(this, isIdle = port.mayCloseIdle)
        ctx.fireChannelActive()
    }

    override fun channelRead(
        ctx: ChannelHandlerContext,
        message: Any,
    ) {
        when {
            isEndToSkip && message is LastHttpContent -> skipEnd(message)
            isLingering -> discard(message)
            isInputEnded -> ReferenceCountUtil.release(message)
            message is HttpRequest -> receiveHead(message)
            message is HttpContent && waiting.isNotEmpty() -> receiveWaiting(message)
            message is HttpContent -> receiveBody(message)
        }
    }

    private fun skipEnd(message: LastHttpContent) {
        isEndToSkip = false
        message.release()
    }

    private fun receiveHead(head: HttpRequest) {
        if (lastCall?.isKeptAlive == false) {
            isInputEnded = true
            ReferenceCountUtil.release(head)
            return
        }
        val caller = port.protocol.readCallerMetadata(head.headers(), node.nowMillis())
        val call = DownstreamCall(this, node, port.protocol, head, caller)
        lastCall = call
        openConnections.busy(this)
        isEndToSkip = call.hasNoBody
        // Counted from here on, so that draining waits for requests that are not opened yet too.
        node.exchangeStarted(call.headBytes)
        if (isNew) hold()
        if (waiting.isNotEmpty() || !mayOpen(call)) addWaiting(call) else open(call)
        if (head is HttpContent && waiting.isNotEmpty()) {
            receiveWaiting(head)
        } else if (head is HttpContent) {
            receiveBody(head)
        }
    }

    /** While memory is full, a connection is closed rather than that a long head waits behind another request. */
    private fun addWaiting(call: DownstreamCall) {
        waiting.addLast(WaitingCall(call, node.memory))
        if (calls.isNotEmpty() && node.memory.isFull && call.headBytes > ORDINARY_HEAD_BYTES) {
            closeForMemory()
        } else if (!hasRoom()) {
            updateReading()
        }
    }

    /**
     * Holds the first request of a connection until the event loop has read all connections once more. The connection
     * may have waited for long to be accepted, and the caller may have disconnected meanwhile; the close is read one
     * iteration after the request.
     */
    private fun hold() {
        isNew = false
        isHeld = true
        loop.afterNextIteration {
            isHeld = false
            processWaiting()
        }
    }

    private fun mayOpen(call: DownstreamCall): Boolean {
        if (isHeld) return false
        val last = calls.lastOrNull() ?: return true
        val isWithinLimits = calls.size < node.settings.maxPipelinedCalls && node.allowsBufferedResponse()
        return last.isRequestDone && isWithinLimits && port.mayOverlap(call.head)
    }

    private fun open(call: DownstreamCall) {
        calls.addLast(call)
        if (calls.size == 1) call.promote()
        call.open(port)
    }

    private fun receiveWaiting(content: HttpContent) {
        waiting.last().receive(content)
        if (!hasRoom()) updateReading()
    }

    private fun receiveBody(content: HttpContent) {
        val call = calls.lastOrNull()?.takeIf { !it.isRequestDone }
        if (call == null) {
            content.release()
            return
        }
        call.onRequestBody(content)
        // Stops a read that has yielded enough already; a read may yield many buffers.
        if (!call.acceptsBody) updateReading()
    }

    override fun channelReadComplete(ctx: ChannelHandlerContext) {
        flushRequests()
        updateReading()
        if (node.memory.isFull && decoder.partialBytes > unreadLimit()) closeForMemory()
    }

    private fun closeForMemory() {
        node.logMemoryClose()
        context.close()
    }

    /** Returns the bytes of an incomplete head that may be kept while memory is full. */
    private fun unreadLimit() = if (calls.isEmpty() && waiting.isEmpty()) 0L else ORDINARY_HEAD_BYTES

    private fun flushRequests() {
        when (calls.size) {
            0 -> Unit
            1 -> calls.first().onRequestReadComplete()
            else -> calls.toList().forEach { it.onRequestReadComplete() }
        }
    }

    /**
     * Enables reading unless too much is waiting or an exchange cannot accept more data. Reading goes on while requests
     * wait, since a caller that disconnects is noticed only by reading.
     */
    fun updateReading() {
        if (!context.channel().isActive) return
        val isReading = isLingering || isInputEnded || (hasRoom() && calls.lastOrNull()?.acceptsBody != false)
        val config = context.channel().config()
        if (config.isAutoRead != isReading) config.isAutoRead = isReading
    }

    private fun hasRoom(): Boolean {
        if (waiting.isEmpty()) return true
        return !node.memory.isFull && waiting.sumOf { it.bytes } < node.settings.maxWaitingRequestBytes
    }

    /** True if no request follows that of [call]. */
    fun isLast(call: DownstreamCall) = lastCall === call

    /** Writes a part of the response to [call], which is the first one. The last part ends the call. */
    fun write(
        call: DownstreamCall,
        part: HttpObject,
    ) {
        if (part is HttpResponse) encoder.method = call.head.method()
        if (part is LastHttpContent && part !is HttpResponse) {
            finish(call, context.writeAndFlush(part))
        } else {
            context.write(part, context.voidPromise())
        }
    }

    private fun finish(
        call: DownstreamCall,
        written: ChannelFuture,
    ) {
        calls.removeFirst()
        // An idle connection keeps nothing of its last request.
        if (call.isKeptAlive && isLast(call)) lastCall = null
        // A response counts as in flight until it is written, so that a stop does not cut it off.
        written.addListener { node.exchangeEnded(call.headBytes) }
        when {
            call.isKeptAlive && call.isRequestDone -> processWaiting()
            call.isRequestDone -> closeAfter(written)
            else -> linger()
        }
    }

    private fun closeAfter(written: ChannelFuture) {
        isInputEnded = true
        cancelAll()
        updateReading()
        written.addListener { context.close() }
    }

    private fun linger() {
        isLingering = true
        updateReading()
        loop.schedule({ context.close() }, node.settings.lingerMillis, TimeUnit.MILLISECONDS)
    }

    private fun discard(message: Any) {
        val isEnd = message is LastHttpContent
        ReferenceCountUtil.release(message)
        if (isEnd) context.close()
    }

    /** Closes the connection in place of a response to [call], once the responses to earlier requests are complete. */
    fun abort(call: DownstreamCall) {
        if (calls.firstOrNull() === call) {
            context.close()
            return
        }
        isInputEnded = true
        call.cancel()
        updateReading()
    }

    fun flush() {
        context.flush()
    }

    /** Ends all calls with a final response, which also closes the connection. Idle connections are closed at once. */
    fun endOnStop() {
        closeIfIdle()
        calls.toList().forEach { it.endOnStop() }
    }

    /** Closes the connection if it has no request in progress. Other connections close after their last response. */
    fun closeIfIdle() {
        if (isIdle()) context.close()
    }

    private fun isIdle() = calls.isEmpty() && waiting.isEmpty() && !isLingering && !isInputEnded

    /** Promotes the first call, and opens the waiting ones that may be opened. */
    private fun processWaiting() {
        if (isProcessing) return
        isProcessing = true
        do {
            val isChanged = promoteFirst() || openNext()
        } while (isChanged)
        isProcessing = false
        flushRequests()
        updateReading()
        if (port.mayCloseIdle && isIdle()) openConnections.idle(this)
    }

    private fun promoteFirst(): Boolean {
        val first = calls.firstOrNull() ?: return false
        if (first.isFirst) return false
        if (first.isAborted) context.close()
        first.promote()
        return true
    }

    private fun openNext(): Boolean {
        if (!context.channel().isActive) return false
        val next = waiting.firstOrNull() ?: return false
        if (!mayOpen(next.call)) return false
        waiting.removeFirst()
        open(next.call)
        next.passBody(::receiveBody)
        return true
    }

    override fun channelWritabilityChanged(ctx: ChannelHandlerContext) {
        calls.firstOrNull()?.onDownstreamWritability(isWritable)
    }

    override fun channelInactive(ctx: ChannelHandlerContext) {
        isInputEnded = true
        openConnections.closed(this)
        cancelAll()
    }

    private fun cancelAll() {
        val open = calls.toList()
        val unopened = waiting.toList()
        calls.clear()
        waiting.clear()
        open.forEach { it.cancel() }
        unopened.forEach { it.release() }
        (open + unopened.map { it.call }).forEach { node.exchangeEnded(it.headBytes) }
    }

    override fun userEventTriggered(
        ctx: ChannelHandlerContext,
        event: Any,
    ) {
        if (event is IdleStateEvent) closeIfIdle()
    }

    @Deprecated("Overrides a deprecated function of ChannelHandler")
    override fun exceptionCaught(
        ctx: ChannelHandlerContext,
        cause: Throwable,
    ) {
        if (cause !is IOException) node.logUnexpected(cause)
        ctx.close()
    }
}
