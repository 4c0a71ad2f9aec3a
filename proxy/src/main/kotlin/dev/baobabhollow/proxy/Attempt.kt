package dev.baobabhollow.proxy

import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpResponse

/** Sends a request once. All functions are called on the event loop of the call. */
internal interface Attempt {
    /** True once the request may have been handed to a target. */
    val mayHaveRun: Boolean

    /** False while the request body should not be read on. */
    val isWritable: Boolean

    /** Sends [head]; the body follows by [body]. */
    fun start(head: HttpRequest)

    /** Sends a part of the body and takes over its reference. */
    fun body(content: HttpContent)

    /** Sends what has been written. */
    fun flush()

    /** Starts or stops reading the answer. */
    fun setReading(isReading: Boolean)

    /** Ends the attempt and closes its connection. The listener hears nothing more. */
    fun cancel()

    /** Ignores the rest of the answer. The listener hears nothing more. */
    fun abandon()
}

/** Receives the answer to an attempt on the event loop of the call. */
internal interface ResponseListener {
    /** Tells that a connection is there and the request is being sent. */
    fun onSending() = Unit

    /** Receives the head of the answer. */
    fun onResponseHead(head: HttpResponse)

    /** Receives a part of the answer's body with its reference; the last part ends the answer. */
    fun onResponseBody(content: HttpContent)

    /** Tells that what was received so far can be flushed. */
    fun onResponseReadComplete()

    /** Ends the attempt without a whole answer. Nothing else follows. */
    fun onFailure(failure: CallFailure)

    /** Tells that [Attempt.isWritable] may have changed. */
    fun onWritabilityChanged()

    /** Tells that the connection is free again or closed. */
    fun onReleased() = Unit
}
