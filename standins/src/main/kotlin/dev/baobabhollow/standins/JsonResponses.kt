package dev.baobabhollow.standins

import io.netty.buffer.Unpooled
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.FullHttpResponse
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaderValues
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpVersion
import kotlinx.serialization.KSerializer
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.jsonObject

/** JSON format of options and statistics. Writes default values. */
internal val StandInJson = Json { encodeDefaults = true }

/** Returns a response with a JSON [body]. */
internal fun jsonResponse(
    status: HttpResponseStatus,
    body: String,
): FullHttpResponse {
    val content = Unpooled.copiedBuffer(body, Charsets.UTF_8)
    val response = DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, content)
    response
        .headers()
        .set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.APPLICATION_JSON)
        .set(HttpHeaderNames.CONTENT_LENGTH, content.readableBytes())
    return response
}

/** Returns an error response with its [reason]. */
internal fun errorResponse(
    status: HttpResponseStatus,
    reason: String,
): FullHttpResponse = jsonResponse(status, JsonObject(mapOf("error" to jsonText(reason))).toString())

/**
 * Returns [value] with the fields of the JSON object [changes] replaced. Throws [IllegalArgumentException] if they are
 * invalid.
 */
internal fun <T> mergeFields(
    serializer: KSerializer<T>,
    value: T,
    changes: String,
): T {
    val fields = StandInJson.encodeToJsonElement(serializer, value).jsonObject
    val changed = Json.parseToJsonElement(changes).jsonObject
    return StandInJson.decodeFromJsonElement(serializer, JsonObject(fields + changed))
}

private fun jsonText(value: String) = Json.encodeToJsonElement(kotlinx.serialization.serializer<String>(), value)
