package dev.baobabhollow.proxy

import io.netty.handler.codec.http.HttpContent

/** One request and its response, handled on the event loop of the downstream connection. */
internal interface Exchange {
    /** False while the request body should not be read on. */
    val isWritable: Boolean

    /** Receives a part of the request body and takes ownership of its buffer. */
    fun onRequestBody(content: HttpContent)

    fun onRequestReadComplete()

    /** Called when the response can be written on or, with false, should not be. */
    fun onDownstreamWritability(isWritable: Boolean)

    /** Ends the exchange with a final response, because the node stops. */
    fun onStopping()

    /** Called when the caller has disconnected or has sent a malformed body. No response can be sent. */
    fun onDownstreamClosed()
}

/** An exchange that has ended, or has not been assigned yet. */
internal object EndedExchange : Exchange {
    override val isWritable = true

    override fun onRequestBody(content: HttpContent) {
        content.release()
    }

    override fun onRequestReadComplete() = Unit

    override fun onDownstreamWritability(isWritable: Boolean) = Unit

    override fun onStopping() = Unit

    override fun onDownstreamClosed() = Unit
}

internal inline fun respondNow(
    downstream: DownstreamCall,
    respond: (DownstreamCall) -> Unit,
): Exchange {
    respond(downstream)
    return EndedExchange
}
