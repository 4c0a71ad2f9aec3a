package dev.baobabhollow.standins

import io.netty.channel.Channel
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.QueryStringDecoder

/** A request whose body has been received completely. Confined to the connection's event loop. */
internal class TargetCall(
    val channel: Channel,
    val request: HttpRequest,
    val bodyBytes: Long,
    val bodySha256: String,
    /** Body as text, up to 64 KiB. Read by control requests only. */
    val bodyText: String,
) {
    private val query = QueryStringDecoder(request.uri())

    /** Path without the query. */
    val path: String = query.path()

    /** Identifier that the caller gave to the request. */
    val requestId: String? = request.headers()["x-request-id"]

    /** Idempotency key of the request. */
    val idempotencyKey: String? = request.headers()["idempotency-key"]

    /** Epoch milliseconds after which the caller no longer needs the response. */
    val deadlineMillis: Long? = request.headers()["x-baobabhollow-deadline"]?.toLongOrNull()

    /** Called when the caller closes the connection before the response. */
    var onCancel: () -> Unit = {}

    /** Returns a query parameter. */
    fun parameter(name: String): String? = query.parameters()[name]?.firstOrNull()
}
