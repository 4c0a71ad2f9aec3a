package dev.baobabhollow.proxy

import io.netty.buffer.ByteBufUtil
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpResponse
import java.io.ByteArrayOutputStream

/** Records the response to a call that claimed [key] and reports the end of the call to [claims] once. */
internal class ClaimedKey(
    private val claims: KeyClaims,
    private val key: String,
    private val maxBytes: Int,
) {
    private var status = 0
    private var headers = emptyList<Pair<String, String>>()
    private val body = ByteArrayOutputStream()
    private var isTooLong = false
    private var isReported = false

    fun onHead(head: HttpResponse) {
        status = head.status().code()
        headers =
            head
                .headers()
                .filter { field -> NOT_STORED.none { it.contentEqualsIgnoreCase(field.key) } }
                .map { it.key to it.value }
    }

    fun onBody(content: HttpContent) {
        val bytes = content.content()
        isTooLong = isTooLong || body.size() + bytes.readableBytes() > maxBytes
        if (!isTooLong) body.write(ByteBufUtil.getBytes(bytes))
    }

    fun finish() =
        report {
            claims.finished(key, if (isTooLong) null else StoredResponse(status, headers, body.toByteArray()))
        }

    fun release() = report { claims.released(key) }

    fun fail(mayHaveRun: Boolean) = report { if (mayHaveRun) claims.finished(key, null) else claims.released(key) }

    private inline fun report(action: () -> Unit) {
        if (isReported) return
        isReported = true
        action()
    }

    private companion object {
        /** A stored response may be sent much later: for another call, and while its estimate no longer holds. */
        val NOT_STORED = listOf(MeshHeaders.CALL, MeshHeaders.ESTIMATE)
    }
}
