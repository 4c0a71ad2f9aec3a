package dev.baobabhollow.proxy

import io.netty.buffer.Unpooled
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.DefaultHttpResponse
import io.netty.handler.codec.http.DefaultLastHttpContent
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.LastHttpContent

internal fun continueResponse() = DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE)

internal fun failureBody(failure: CallFailure): LastHttpContent =
    DefaultLastHttpContent(Unpooled.copiedBuffer("${failure.reason.text}\n", Charsets.US_ASCII))

internal fun failureHead(
    failure: CallFailure,
    bodyBytes: Int,
    callId: String?,
    protocol: CallProtocol,
): HttpResponse {
    val head = DefaultHttpResponse(HttpVersion.HTTP_1_1, failure.status)
    head
        .headers()
        .set(HttpHeaderNames.CONTENT_TYPE, "text/plain")
        .set(HttpHeaderNames.CONTENT_LENGTH, bodyBytes)
        .set(MeshHeaders.OUTCOME, failure.outcome.text)
        .set(MeshHeaders.REASON, failure.reason.text)
    if (failure.status == HttpResponseStatus.UNAUTHORIZED) {
        head.headers().set(HttpHeaderNames.WWW_AUTHENTICATE, "Bearer")
    }
    failure.loadPermille?.let { head.headers().set(MeshHeaders.LOAD, it) }
    failure.estimate?.let(head.headers()::setEstimate)
    failure.retryAfterMillis?.let { head.headers().set(MeshHeaders.ROOM_IN, it) }
    protocol.writeFailure(head, callId, failure.outcome == CallOutcome.NOT_RUN, failure.retryAfterMillis)
    return head
}

internal fun storedHead(response: StoredResponse): HttpResponse {
    val head = DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(response.status))
    response.headers.forEach { (name, value) -> head.headers().add(name, value) }
    head.headers().remove(HttpHeaderNames.TRANSFER_ENCODING)
    head.headers().set(HttpHeaderNames.CONTENT_LENGTH, response.body.size)
    return head
}

internal fun storedBody(response: StoredResponse): LastHttpContent =
    DefaultLastHttpContent(Unpooled.wrappedBuffer(response.body))
