package dev.baobabhollow.proxy

import io.netty.buffer.Unpooled
import io.netty.channel.ChannelDuplexHandler
import io.netty.channel.ChannelHandlerContext

/**
 * Accounts for what a connection holds in [memory]: bytes that its peer has not taken yet, with the objects that carry
 * them, and the [unreadBytes] of its decoder. It has to be the first handler of the pipeline.
 */
internal class ConnectionMeter(
    private val memory: HeldMemory,
    private val unreadBytes: () -> Long,
) : ChannelDuplexHandler() {
    private val account = HeldAccount(memory)
    private var context: ChannelHandlerContext? = null
    private var pendingBytes = 0L

    /** True while a marker is queued behind the bytes that the peer has not taken yet. */
    private var isMarked = false
    private var wasWritable = true

    /**
     * False while no more should be written. While the node's memory is full, only what the peer takes at once may be
     * written. A change is reported by `channelWritabilityChanged`.
     */
    val isWritable: Boolean
        get() = context?.channel()?.isWritable == true && (pendingBytes == 0L || !memory.isFull)

    override fun handlerAdded(ctx: ChannelHandlerContext) {
        context = ctx
    }

    override fun flush(ctx: ChannelHandlerContext) {
        ctx.flush()
        measure(ctx)
    }

    private fun measure(ctx: ChannelHandlerContext) {
        val buffer = ctx.channel().unsafe().outboundBuffer()
        pendingBytes = buffer?.totalPendingWriteBytes() ?: 0L
        account.set(pendingBytes + unreadBytes())
        if (pendingBytes > 0 && !isMarked) mark(ctx)
        reportWritability(ctx)
    }

    /** Writes nothing behind the pending bytes, so that the end of this write tells that they have been taken. */
    private fun mark(ctx: ChannelHandlerContext) {
        isMarked = true
        ctx.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener {
            // The buffer still counts the marker while its listener is called.
            ctx.executor().execute { measureAfterMarker(ctx) }
        }
    }

    private fun measureAfterMarker(ctx: ChannelHandlerContext) {
        isMarked = false
        if (ctx.channel().isActive) measure(ctx)
    }

    private fun reportWritability(ctx: ChannelHandlerContext) {
        val isWritableNow = isWritable
        if (isWritableNow == wasWritable) return
        wasWritable = isWritableNow
        ctx.fireChannelWritabilityChanged()
    }

    override fun channelWritabilityChanged(ctx: ChannelHandlerContext) = reportWritability(ctx)

    override fun channelReadComplete(ctx: ChannelHandlerContext) {
        ctx.fireChannelReadComplete()
        account.set(pendingBytes + unreadBytes())
    }

    override fun channelInactive(ctx: ChannelHandlerContext) {
        ctx.fireChannelInactive()
        pendingBytes = 0
        account.set(0)
    }
}
