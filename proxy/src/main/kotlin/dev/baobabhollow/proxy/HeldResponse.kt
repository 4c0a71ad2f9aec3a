package dev.baobabhollow.proxy

import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.LastHttpContent
import io.netty.util.ReferenceCountUtil

/**
 * Response that is held back until those to earlier requests of its connection are complete. Room for [maxBytes] is
 * reserved in [memory] until the response is complete.
 */
internal class HeldResponse(
    memory: HeldMemory,
    private val maxBytes: Long,
) {
    private val heads = ArrayDeque<HttpResponse>(1)
    private val body = PendingBody(memory)
    private val headAccount = HeldAccount(memory)
    private var headBytes = 0L
    private val reserved = HeldAccount(memory).apply { set(maxBytes) }

    /** False while no more of the response should be read. */
    val hasRoom: Boolean get() = body.bytes < maxBytes

    /** Adds a part and takes ownership of its buffer. */
    fun add(part: HttpObject) {
        if (part is HttpResponse) addHead(part) else body.add(part as HttpContent)
        val isComplete = part is LastHttpContent && part !is HttpResponse
        reserved.set(if (isComplete) 0L else (maxBytes - body.bytes).coerceAtLeast(0L))
    }

    private fun addHead(head: HttpResponse) {
        heads.addLast(head)
        headBytes += estimatedBytes(head.headers())
        headAccount.set(headBytes)
    }

    /** Passes all parts to [send], which takes ownership of their buffers, and returns true if there were any. */
    fun passTo(send: (HttpObject) -> Unit): Boolean {
        reserved.set(0)
        headAccount.set(0)
        if (heads.isEmpty()) return false
        while (heads.isNotEmpty()) send(heads.removeFirst())
        body.drain(send)
        return true
    }

    fun clear() {
        heads.forEach { ReferenceCountUtil.release(it) }
        heads.clear()
        body.clear()
        headAccount.set(0)
        reserved.set(0)
    }
}
