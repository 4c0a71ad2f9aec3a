package dev.baobabhollow.proxy

import dev.baobabhollow.calls.normalizedPath
import io.netty.buffer.Unpooled
import io.netty.handler.codec.TooLongFrameException
import io.netty.handler.codec.http.DefaultHttpResponse
import io.netty.handler.codec.http.DefaultLastHttpContent
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaderValues
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpVersion
import java.io.ByteArrayOutputStream

internal const val KEYS_PATH = "/.baobabhollow/keys"

/** Returns the reason why [head] cannot be forwarded safely, or null. */
internal fun requestError(head: HttpRequest): CallFailure? {
    val result = head.decoderResult()
    if (result.isFailure) {
        val isTooLong = result.cause() is TooLongFrameException
        return if (isTooLong) headersTooLarge() else badRequest()
    }
    if (head.protocolVersion() != HttpVersion.HTTP_1_1) {
        return CallFailure.notRun(FailureReason.UNSUPPORTED_VERSION, HttpResponseStatus.HTTP_VERSION_NOT_SUPPORTED)
    }
    val isForwardable = head.method() != HttpMethod.CONNECT && head.uri().startsWith("/") && hasOneLength(head)
    val hasOneHost = head.headers().getAll(HttpHeaderNames.HOST).size == 1
    return if (isForwardable && hasOneHost) null else badRequest()
}

private fun hasOneLength(head: HttpRequest): Boolean {
    val encodings = head.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING)
    val lengths = head.headers().getAll(HttpHeaderNames.CONTENT_LENGTH)
    if (encodings.isEmpty()) return lengths.size <= 1
    val isChunked = encodings.size == 1 && HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(encodings[0].trim())
    return isChunked && lengths.isEmpty()
}

internal fun badRequest() = CallFailure.notRun(FailureReason.BAD_REQUEST, HttpResponseStatus.BAD_REQUEST)

private fun headersTooLarge() =
    CallFailure.notRun(FailureReason.HEADERS_TOO_LARGE, HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE)

/**
 * Returns the path by which [uri] is routed, or null if it cannot be routed safely: dot segments are rejected, also with
 * escapes, because a target may resolve them and execute a request on another route than the one matched.
 */
internal fun routingPath(uri: String): String? {
    val path = uri.substringBefore('?')
    val plain = if ('%' in path) unescape(path) ?: return null else path
    if ("/." in plain && plain.split('/').any { part -> part == "." || part == ".." }) return null
    return normalizedPath(path)
}

private fun unescape(path: String): String? {
    val bytes = ByteArrayOutputStream(path.length)
    var index = 0
    while (index < path.length) {
        if (path[index] != '%') {
            bytes.write(path[index++].code)
            continue
        }
        if (index + ESCAPE_LENGTH > path.length) return null
        val value = path.substring(index + 1, index + ESCAPE_LENGTH).toIntOrNull(HEX) ?: return null
        if (value < 0) return null
        bytes.write(value)
        index += ESCAPE_LENGTH
    }
    return bytes.toString(Charsets.UTF_8)
}

private const val ESCAPE_LENGTH = 3
private const val HEX = 16

internal fun isKeyRequest(head: HttpRequest): Boolean =
    head.method() == HttpMethod.POST && head.uri().substringBefore('?') == KEYS_PATH

/** Responds with a new key of this node. */
internal fun respondWithKey(
    node: NodeCore,
    downstream: DownstreamCall,
) {
    val key = node.claims.issue(node.nowMillis() + node.settings.keyLifetimeMillis, node.nowMillis())
    if (key == null) return downstream.writeFailureResponse(CallFailure.notRun(FailureReason.CLAIMS_UNAVAILABLE))
    val body = Unpooled.copiedBuffer("{\"key\":\"$key\"}\n", Charsets.US_ASCII)
    val head = DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK)
    head.headers().set(HttpHeaderNames.CONTENT_TYPE, "application/json")
    head.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes())
    downstream.writeResponseHead(head)
    downstream.writeResponseBody(DefaultLastHttpContent(body))
}
