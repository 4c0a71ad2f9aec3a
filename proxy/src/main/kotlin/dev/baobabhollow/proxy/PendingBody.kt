package dev.baobabhollow.proxy

import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.LastHttpContent

/** Queue of request body parts that cannot be sent yet. Owns their buffers. */
internal class PendingBody {
    private val parts = ArrayDeque<HttpContent>(2)

    /** Number of queued bytes. */
    var bytes = 0
        private set

    /** True once the last part is queued. */
    var isWhole = false
        private set

    val isEmpty: Boolean get() = parts.isEmpty()

    fun add(content: HttpContent) {
        bytes += content.content().readableBytes()
        isWhole = content is LastHttpContent
        parts.addLast(content)
    }

    /** Passes all parts to [send], which takes ownership of their buffers. */
    fun drain(send: (HttpContent) -> Unit) {
        while (parts.isNotEmpty()) {
            val part = parts.removeFirst()
            bytes -= part.content().readableBytes()
            send(part)
        }
    }

    /** Passes duplicates of all parts to [send] and keeps the parts. */
    fun replay(send: (HttpContent) -> Unit) = parts.forEach { send(it.retainedDuplicate()) }

    fun clear() {
        parts.forEach { it.release() }
        parts.clear()
        bytes = 0
    }
}
