package dev.baobabhollow.proxy

import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.LastHttpContent

/** A call that has not been opened, and the part of its body that has been received. */
internal class WaitingCall(
    val call: DownstreamCall,
    private val memory: HeldMemory,
) {
    private val body = PendingBody(memory)

    /** Part that the decoder could not parse, which ends the body. */
    private var malformed: HttpContent? = null

    val bytes: Long get() = HEAD_BYTES + (call.headBytes - ORDINARY_HEAD_BYTES).coerceAtLeast(0) + body.bytes

    /** Receives a part of the body and takes ownership of its buffer. */
    fun receive(content: HttpContent) {
        if (content.decoderResult().isFailure) {
            malformed = content
            return
        }
        if (content.content().isReadable && memory.isFull) {
            call.refusal = CallFailure.memoryLimit()
            body.clear()
        }
        if (call.refusal == null) body.add(content) else discard(content)
    }

    private fun discard(content: HttpContent) {
        content.release()
        // The refusal need not close the connection, and the requests behind this one have their turn.
        if (content is LastHttpContent) call.onRequestDiscarded()
    }

    /** Passes the body to [send], which takes ownership of its buffers. */
    fun passBody(send: (HttpContent) -> Unit) {
        body.drain(send)
        malformed?.let(send)
    }

    fun release() {
        body.clear()
        malformed?.release()
    }

    private companion object {
        /** Assumed size of the head of a waiting request, unless it is longer than an ordinary one. */
        const val HEAD_BYTES = 1_024L
    }
}
