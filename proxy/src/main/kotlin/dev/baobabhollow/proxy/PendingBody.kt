package dev.baobabhollow.proxy

import io.netty.buffer.ByteBuf
import io.netty.buffer.ByteBufAllocator
import io.netty.handler.codec.http.DefaultHttpContent
import io.netty.handler.codec.http.DefaultLastHttpContent
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.LastHttpContent

/**
 * Queue of body parts that cannot be sent yet. Small parts are copied into segments, so that the memory in use is
 * proportional to the bytes of the body, however short its chunks are and however much a read buffer holds besides.
 */
internal class PendingBody(
    memory: HeldMemory,
) {
    private val account = HeldAccount(memory)
    private val segments = ArrayDeque<ByteBuf>(2)
    private var trailers: HttpHeaders? = null
    private var trailerBytes = 0L

    /** True if the last segment has room and only this queue refers to it. */
    private var isLastOpen = false

    /** Memory that the segments take, also beyond the bytes of the body. */
    private var segmentBytes = 0L

    /** Number of queued bytes. */
    var bytes = 0
        private set

    /** True once the last part is queued. */
    var isWhole = false
        private set

    val isEmpty: Boolean get() = segments.isEmpty() && !isWhole

    /** Queues [content] and takes ownership of its buffer. */
    fun add(content: HttpContent) {
        bytes += content.content().readableBytes()
        if (content is LastHttpContent) {
            isWhole = true
            trailers = content.trailingHeaders().takeUnless { it.isEmpty }
            trailerBytes = trailers?.let(::estimatedBytes) ?: 0
        }
        if (content.content().isReadable) append(content.content())
        content.release()
        updateAccount()
    }

    private fun updateAccount() = account.set(segmentBytes + trailerBytes)

    private fun append(part: ByteBuf) {
        if (part.readableBytes() >= SEGMENT_BYTES / 2 && isCompact(part)) {
            segments.addLast(part.retain())
            segmentBytes += memoryOf(part)
            isLastOpen = false
            return
        }
        while (part.isReadable) {
            val segment = openSegment(part.readableBytes())
            val before = memoryOf(segment)
            segment.writeBytes(part, minOf(part.readableBytes(), segment.maxWritableBytes()))
            segmentBytes += memoryOf(segment) - before
        }
    }

    private fun openSegment(bytes: Int): ByteBuf {
        segments.lastOrNull()?.takeIf { isLastOpen && it.maxWritableBytes() > 0 }?.let { return it }
        isLastOpen = true
        val segment = ByteBufAllocator.DEFAULT.directBuffer(minOf(bytes, SEGMENT_BYTES), SEGMENT_BYTES)
        segments.addLast(segment)
        segmentBytes += memoryOf(segment)
        return segment
    }

    /** True if [part] keeps no more than twice its bytes in memory, as a slice of a read buffer may. */
    private fun isCompact(part: ByteBuf) = memoryOf(part) <= part.readableBytes() * 2

    /** Bytes of the buffer that [part] belongs to. */
    private fun memoryOf(part: ByteBuf): Int {
        var whole = part
        while (true) whole = whole.unwrap() ?: return whole.capacity()
    }

    /** Passes all parts to [send], which takes ownership of their buffers. */
    fun drain(send: (HttpContent) -> Unit) {
        while (!isEmpty) {
            val segment = segments.removeFirstOrNull()
            bytes -= segment?.readableBytes() ?: 0
            segmentBytes -= segment?.let(::memoryOf) ?: 0
            val part = nextPart(segment)
            updateAccount()
            send(part)
        }
    }

    private fun nextPart(segment: ByteBuf?): HttpContent {
        if (!isWhole || segments.isNotEmpty()) return DefaultHttpContent(checkNotNull(segment))
        isWhole = false
        trailerBytes = 0
        return lastPart(segment)
    }

    private fun lastPart(segment: ByteBuf?): HttpContent {
        val headers = trailers
        if (segment == null && headers == null) return LastHttpContent.EMPTY_LAST_CONTENT
        val last = if (segment == null) DefaultLastHttpContent() else DefaultLastHttpContent(segment)
        headers?.let { last.trailingHeaders().set(it) }
        return last
    }

    /** Passes duplicates of all parts to [send], which takes ownership of their buffers, and keeps the parts. */
    fun replay(send: (HttpContent) -> Unit) {
        isLastOpen = false
        val copies = segments.map { it.retainedDuplicate() }
        val parts =
            when {
                !isWhole -> copies.map(::DefaultHttpContent)
                else -> copies.dropLast(1).map(::DefaultHttpContent) + lastPart(copies.lastOrNull())
            }
        parts.forEach(send)
    }

    fun clear() {
        segments.forEach { it.release() }
        segments.clear()
        trailers = null
        isWhole = false
        bytes = 0
        segmentBytes = 0
        trailerBytes = 0
        updateAccount()
    }

    private companion object {
        /** Bounds the unused rest of a segment, and is large enough that its objects do not count. */
        const val SEGMENT_BYTES = 16_384
    }
}
