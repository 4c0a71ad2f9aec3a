package dev.baobabhollow.proxy

import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.LastHttpContent

/** Holds parts of a request body, with their references, that cannot be sent yet. */
internal class PendingBody {
    private val parts = ArrayDeque<HttpContent>(2)

    /** Number of held bytes. */
    var bytes = 0
        private set

    /** True once the last part is held. */
    var isWhole = false
        private set

    val isEmpty: Boolean get() = parts.isEmpty()

    fun add(content: HttpContent) {
        bytes += content.content().readableBytes()
        isWhole = content is LastHttpContent
        parts.addLast(content)
    }

    /** Passes all parts on with their references. */
    fun drain(send: (HttpContent) -> Unit) {
        while (parts.isNotEmpty()) {
            val part = parts.removeFirst()
            bytes -= part.content().readableBytes()
            send(part)
        }
    }

    /** Passes duplicates on and keeps the parts. */
    fun replay(send: (HttpContent) -> Unit) = parts.forEach { send(it.retainedDuplicate()) }

    fun clear() {
        parts.forEach { it.release() }
        parts.clear()
        bytes = 0
    }
}
