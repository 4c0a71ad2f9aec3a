package dev.baobabhollow.proxy

import io.netty.buffer.ByteBuf
import io.netty.channel.Channel
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandler
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpStatusClass
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.LastHttpContent
import io.netty.util.AsciiString
import io.netty.util.ReferenceCountUtil

/**
 * Carries one exchange at a time to a target or an owner node. Data that arrives outside an exchange closes the
 * connection, so that it cannot reach the next caller.
 */
internal class UpstreamConnection(
    val channel: Channel,
    private val decoder: StrictResponseDecoder,
    private val meter: ConnectionMeter,
    private val maxStrayBytes: Int,
    private val onIdle: (UpstreamConnection) -> Unit,
) : ChannelInboundHandlerAdapter() {
    /** Counts bytes ahead of the decoder, because the decoder skips some without emitting a message. */
    val strayByteGuard: ChannelInboundHandler = StrayByteGuard()

    /** Bytes of the current exchange that preceded the head of its response. */
    private var strayBytes = 0L
    private var call: UpstreamCall? = null
    private var method: HttpMethod = HttpMethod.GET
    private var isHeadSeen = false
    private var isInformational = false
    private var isKeptAlive = true
    private var isResponseDone = false

    /** True while the end of the response is marked by the close of the connection only. */
    private var isCloseDelimited = false

    /** True while the response to another call is skipped. */
    private var isMismatched = false

    /** Idle timeout in milliseconds stated by the peer, after which it may close the connection, or null if none. */
    var idleLimitMillis: Long? = null
        private set

    /** Time at which the connection became idle. */
    var idleSinceMillis = 0L

    /** True if the connection can carry another exchange; buffered bytes would become part of the next response. */
    val isUsable: Boolean get() = channel.isActive && decoder.partialBytes == 0L

    /** False while no more of a request should be written. */
    val isWritable: Boolean get() = meter.isWritable

    fun begin(
        call: UpstreamCall,
        method: HttpMethod,
    ) {
        check(this.call == null) { "connection ${channel.id()} already carries an exchange" }
        this.call = call
        this.method = method
        decoder.method = method
        isHeadSeen = false
        isInformational = false
        isKeptAlive = true
        isResponseDone = false
        isCloseDelimited = false
        isMismatched = false
        strayBytes = 0
    }

    fun setReading(isReading: Boolean) {
        if (channel.config().isAutoRead != isReading) channel.config().isAutoRead = isReading
    }

    private fun onBytes(count: Int) {
        val current = call
        if (current == null) {
            channel.close()
            return
        }
        if (isHeadSeen) return
        strayBytes += count
        if (strayBytes > maxStrayBytes) failMalformed(current)
    }

    override fun channelRead(
        ctx: ChannelHandlerContext,
        message: Any,
    ) {
        val current = call
        if (current == null || isResponseDone) {
            ReferenceCountUtil.release(message)
            isKeptAlive = false
            channel.close()
            return
        }
        if (message is HttpResponse) onHead(current, message)
        if (message is HttpContent) onContent(current, message)
    }

    private fun onHead(
        current: UpstreamCall,
        head: HttpResponse,
    ) {
        val isBroken = head.decoderResult().isFailure || isHeadSeen || !current.isRequestStarted
        isInformational = !isBroken && head.status().codeClass() == HttpStatusClass.INFORMATIONAL
        if (isBroken || head.status() == HttpResponseStatus.SWITCHING_PROTOCOLS) return failMalformed(current)
        if (isInformational) return
        if (!current.accepts(head)) return onMismatchedHead(current)
        if (!current.isResponseGenuine) return failMalformed(current)
        // A close-delimited body cannot be told from a truncated one, so it is accepted only if the protocol allows it.
        isCloseDelimited = !hasLength(head)
        if (isCloseDelimited && !current.allowsCloseDelimitedResponses) return failMalformed(current)
        isHeadSeen = true
        isKeptAlive = isKeptAlive && !isCloseDelimited && HttpUtil.isKeepAlive(head)
        idleLimitMillis = keepAliveMillis(head)
        current.onHead(head)
    }

    /** A late or duplicate response. The connection is closed after the current call, because more may follow. */
    private fun onMismatchedHead(current: UpstreamCall) {
        if (!current.skipsMismatchedResponses) return failMalformed(current)
        isKeptAlive = false
        isMismatched = true
    }

    private fun keepAliveMillis(head: HttpResponse): Long? {
        val text = head.headers().get(KEEP_ALIVE) ?: return null
        val seconds =
            KEEP_ALIVE_TIMEOUT
                .find(text)
                ?.groupValues
                ?.get(1)
                ?.toLongOrNull() ?: return null
        return seconds * MILLIS_PER_SECOND
    }

    /**
     * A close that precedes the end of the request is not taken for the end of a response without a length: it may be
     * the first sign of a reset, which can also show as a failed write, and then the response is truncated.
     */
    private fun onContent(
        current: UpstreamCall,
        content: HttpContent,
    ) {
        if (isInformational || isMismatched) {
            if (content is LastHttpContent) {
                isInformational = false
                isMismatched = false
            }
            content.release()
            return
        }
        if (call == null || !isHeadSeen || content.decoderResult().isFailure) {
            content.release()
            failMalformed(current)
            return
        }
        if (content is LastHttpContent && isCloseDelimited && !current.isRequestWritten) {
            content.release()
            current.fail(FailureReason.CONNECTION_CLOSED)
            return
        }
        isResponseDone = content is LastHttpContent
        current.onBody(content)
    }

    private fun hasLength(head: HttpResponse): Boolean {
        val code = head.status()
        val isEmpty =
            method == HttpMethod.HEAD || code == HttpResponseStatus.NO_CONTENT ||
                code == HttpResponseStatus.NOT_MODIFIED
        return isEmpty || HttpUtil.isContentLengthSet(head) || HttpUtil.isTransferEncodingChunked(head)
    }

    private fun failMalformed(current: UpstreamCall) {
        if (call !== current) return
        current.fail(FailureReason.MALFORMED_ANSWER)
    }

    override fun channelReadComplete(ctx: ChannelHandlerContext) {
        val current = call ?: return
        current.onReadComplete()
        if (!isResponseDone || call == null) return
        end(isReusable = isKeptAlive && current.isRequestDone)
    }

    /** Ends the exchange and keeps the connection only if both sides have completed it. */
    fun end(isReusable: Boolean) {
        val current = call ?: return
        call = null
        if (isReusable && isUsable) {
            setReading(true)
            onIdle(this)
            current.onReleased()
            return
        }
        channel.close().addListener { current.onReleased() }
    }

    override fun channelWritabilityChanged(ctx: ChannelHandlerContext) {
        call?.onWritabilityChanged()
    }

    override fun channelInactive(ctx: ChannelHandlerContext) {
        val current = call ?: return
        if (isResponseDone) end(isReusable = false) else current.fail(FailureReason.CONNECTION_CLOSED)
    }

    @Deprecated("Overrides a deprecated function of ChannelHandler")
    override fun exceptionCaught(
        ctx: ChannelHandlerContext,
        cause: Throwable,
    ) {
        // The decoder treats any close as the end of a close-delimited body, but after a reset the body is truncated.
        call?.let { if (!isResponseDone) it.fail(FailureReason.CONNECTION_CLOSED) }
        ctx.close()
    }

    private inner class StrayByteGuard : ChannelInboundHandlerAdapter() {
        override fun channelRead(
            ctx: ChannelHandlerContext,
            message: Any,
        ) {
            if (message is ByteBuf) onBytes(message.readableBytes())
            ctx.fireChannelRead(message)
        }
    }

    private companion object {
        val KEEP_ALIVE: AsciiString = AsciiString.cached("keep-alive")
        val KEEP_ALIVE_TIMEOUT = Regex("timeout=(\\d{1,6})")
        const val MILLIS_PER_SECOND = 1_000L
    }
}
