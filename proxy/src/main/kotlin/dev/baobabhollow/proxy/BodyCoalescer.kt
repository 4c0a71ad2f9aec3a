package dev.baobabhollow.proxy

import io.netty.buffer.ByteBuf
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.handler.codec.http.DefaultHttpContent
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.LastHttpContent

/**
 * Merges the body parts that one read yields. A decoder emits an object for each chunk, however short, and every later
 * stage would handle, queue and send each of them by itself.
 */
internal class BodyCoalescer : ChannelInboundHandlerAdapter() {
    private var first: HttpContent? = null

    /** Copy of [first] and the parts after it, once there is a second part. */
    private var merged: ByteBuf? = null

    override fun channelRead(
        ctx: ChannelHandlerContext,
        message: Any,
    ) {
        if (message is HttpContent && isShort(message)) {
            merge(ctx, message)
        } else {
            emit(ctx)
            ctx.fireChannelRead(message)
        }
    }

    private fun isShort(part: HttpContent) =
        part !is LastHttpContent && part.decoderResult().isSuccess && part.content().readableBytes() < SHORT_BYTES

    private fun merge(
        ctx: ChannelHandlerContext,
        part: HttpContent,
    ) {
        if (first == null) {
            first = part
            return
        }
        val pending = merged ?: copyOfFirst(ctx)
        pending.writeBytes(part.content())
        part.release()
        if (pending.readableBytes() >= MAX_MERGED_BYTES) emit(ctx)
    }

    private fun copyOfFirst(ctx: ChannelHandlerContext): ByteBuf {
        val start = checkNotNull(first).content()
        val copy = ctx.alloc().buffer(start.readableBytes() * 2)
        copy.writeBytes(start)
        merged = copy
        return copy
    }

    private fun emit(ctx: ChannelHandlerContext) {
        val start = first ?: return
        val copy = merged
        first = null
        merged = null
        if (copy == null) {
            ctx.fireChannelRead(start)
            return
        }
        start.release()
        ctx.fireChannelRead(DefaultHttpContent(copy))
    }

    override fun channelReadComplete(ctx: ChannelHandlerContext) {
        emit(ctx)
        ctx.fireChannelReadComplete()
    }

    override fun channelInactive(ctx: ChannelHandlerContext) {
        emit(ctx)
        ctx.fireChannelInactive()
    }

    @Deprecated("Overrides a deprecated function of ChannelHandler")
    override fun exceptionCaught(
        ctx: ChannelHandlerContext,
        cause: Throwable,
    ) {
        emit(ctx)
        ctx.fireExceptionCaught(cause)
    }

    override fun handlerRemoved(ctx: ChannelHandlerContext) {
        first?.release()
        merged?.release()
        first = null
        merged = null
    }

    private companion object {
        /** The objects of a longer part take little against its bytes, and need no copy. */
        const val SHORT_BYTES = 4_096
        const val MAX_MERGED_BYTES = 16_384
    }
}
