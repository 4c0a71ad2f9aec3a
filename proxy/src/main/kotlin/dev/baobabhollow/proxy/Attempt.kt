package dev.baobabhollow.proxy

import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpResponse

/** One try to send a request and receive its response. All functions must be called on the event loop of the call. */
internal interface Attempt {
    /** True once the request may have been handed to a target. */
    val mayHaveRun: Boolean

    /** False while the request body should not be read on. */
    val isWritable: Boolean

    /** Sends [head]; the body follows through [body]. */
    fun start(head: HttpRequest)

    /** Sends a part of the body and takes ownership of its buffer. */
    fun body(content: HttpContent)

    /** Flushes what has been written. */
    fun flush()

    /** Starts or stops reading the response. */
    fun setReading(isReading: Boolean)

    /** Ends the attempt and closes its connection. The listener receives no further events. */
    fun cancel()

    /** Discards the rest of the response. The listener receives no further events. */
    fun abandon()
}

/** Receives the response to an attempt on the event loop of the call. */
internal interface ResponseListener {
    /** Called when a connection is available and the request is being sent. */
    fun onSending() = Unit

    /** Receives the head of the response. */
    fun onResponseHead(head: HttpResponse)

    /** Receives a part of the response body and takes ownership of its buffer; the last part ends the response. */
    fun onResponseBody(content: HttpContent)

    /** Called when what was received so far can be flushed. */
    fun onResponseReadComplete()

    /** Ends the attempt without a complete response. No other event but [onReleased] follows. */
    fun onFailure(failure: CallFailure)

    /** Called when [Attempt.isWritable] may have changed. */
    fun onWritabilityChanged()

    /** Called when the connection is idle again or closed. */
    fun onReleased() = Unit
}
