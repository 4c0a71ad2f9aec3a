package dev.baobabhollow.proxy

import io.netty.channel.Channel
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpStatusClass
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.LastHttpContent
import io.netty.util.ReferenceCountUtil

/**
 * Carries one exchange at a time to a target or an owner node. Anything that arrives outside an exchange closes the
 * connection, so that it cannot reach the next caller.
 */
internal class UpstreamConnection(
    val channel: Channel,
    private val decoder: StrictResponseDecoder,
    private val onIdle: (UpstreamConnection) -> Unit,
) : ChannelInboundHandlerAdapter() {
    private var call: UpstreamCall? = null
    private var method: HttpMethod = HttpMethod.GET
    private var isHeadSeen = false
    private var isInformational = false
    private var isKeptAlive = true
    private var isAnswerDone = false

    /** Time at which the connection became idle. */
    var idleSinceMillis = 0L

    /** True if the connection can carry another exchange: bytes that belong to none would become part of its answer. */
    val isUsable: Boolean get() = channel.isActive && !decoder.hasPartialMessage

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
        isAnswerDone = false
    }

    fun setReading(isReading: Boolean) {
        if (channel.config().isAutoRead != isReading) channel.config().isAutoRead = isReading
    }

    override fun channelRead(
        ctx: ChannelHandlerContext,
        message: Any,
    ) {
        val current = call
        if (current == null || isAnswerDone) {
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
        if (isBroken || head.status() == HttpResponseStatus.SWITCHING_PROTOCOLS) return breakOff(current)
        if (isInformational) return
        // A body that ends with the connection cannot be told from a truncated one.
        if (!hasLength(head) || !current.accepts(head)) return breakOff(current)
        isHeadSeen = true
        isKeptAlive = HttpUtil.isKeepAlive(head)
        current.onHead(head)
    }

    private fun onContent(
        current: UpstreamCall,
        content: HttpContent,
    ) {
        if (isInformational) {
            if (content is LastHttpContent) isInformational = false
            content.release()
            return
        }
        if (call == null || !isHeadSeen || content.decoderResult().isFailure) {
            content.release()
            breakOff(current)
            return
        }
        isAnswerDone = content is LastHttpContent
        current.onBody(content)
    }

    private fun hasLength(head: HttpResponse): Boolean {
        val code = head.status()
        val isEmpty =
            method == HttpMethod.HEAD || code == HttpResponseStatus.NO_CONTENT ||
                code == HttpResponseStatus.NOT_MODIFIED
        return isEmpty || HttpUtil.isContentLengthSet(head) || HttpUtil.isTransferEncodingChunked(head)
    }

    private fun breakOff(current: UpstreamCall) {
        if (call !== current) return
        current.fail(FailureReason.MALFORMED_ANSWER)
    }

    override fun channelReadComplete(ctx: ChannelHandlerContext) {
        val current = call ?: return
        current.onReadComplete()
        if (!isAnswerDone || call == null) return
        end(isReusable = isKeptAlive && current.isRequestDone)
    }

    /** Ends the exchange and keeps the connection only if both sides are through with it. */
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
        if (isAnswerDone) end(isReusable = false) else current.fail(FailureReason.CONNECTION_CLOSED)
    }

    @Deprecated("Overrides a deprecated function of ChannelHandler")
    override fun exceptionCaught(
        ctx: ChannelHandlerContext,
        cause: Throwable,
    ) {
        ctx.close()
    }
}
