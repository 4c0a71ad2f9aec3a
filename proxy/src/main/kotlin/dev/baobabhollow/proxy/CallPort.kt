package dev.baobabhollow.proxy

import io.netty.handler.codec.http.HttpRequest

/** Opens the exchanges of a port. */
internal interface CallPort {
    val protocol: CallProtocol

    fun open(
        downstream: DownstreamCall,
        head: HttpRequest,
    ): Exchange

    /**
     * True if the request may be executed before the responses to earlier requests of its connection are complete. If
     * one of those closes the connection, callers send the later requests again, whether they have been executed or not.
     */
    fun mayOverlap(head: HttpRequest): Boolean

    /** True if idle connections may be closed to make room for others. */
    val mayCloseIdle: Boolean

    /** Bytes by which the heads of requests may exceed what callers may send. */
    val addedHeaderBytes: Int
}
