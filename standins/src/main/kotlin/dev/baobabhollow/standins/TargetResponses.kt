package dev.baobabhollow.standins

import io.netty.buffer.Unpooled
import io.netty.channel.ChannelFutureListener
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.DefaultHttpContent
import io.netty.handler.codec.http.DefaultHttpResponse
import io.netty.handler.codec.http.FullHttpResponse
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaderValues
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import java.security.MessageDigest
import java.util.HexFormat

/** Returns the interim response `100 Continue`. */
internal fun continueResponse(): FullHttpResponse =
    DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER)

/** Sends [response], and closes the connection afterwards if the caller requested it or [closes] is true. */
internal fun TargetCall.send(
    response: FullHttpResponse,
    closes: Boolean = false,
) {
    requestId?.let { response.headers().set("x-request-id", it) }
    val hash = MessageDigest.getInstance("SHA-256").digest(bytesOf(response))
    response.headers().set("x-answer-sha256", HexFormat.of().formatHex(hash))
    channel.pipeline().get(TargetHttpHandler::class.java)?.finish()
    val ends = closes || !HttpUtil.isKeepAlive(request)
    if (ends) response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE)
    val sent = channel.writeAndFlush(response)
    if (ends) sent.addListener(ChannelFutureListener.CLOSE)
}

/**
 * Sends the head and half of the body of [response], chunked if the caller requested it, then closes the connection.
 */
internal fun TargetCall.sendTruncated(response: FullHttpResponse) {
    val head = DefaultHttpResponse(HttpVersion.HTTP_1_1, response.status(), response.headers())
    if (parameter("chunked") == "true") {
        head.headers().remove(HttpHeaderNames.CONTENT_LENGTH)
        HttpUtil.setTransferEncodingChunked(head, true)
    }
    val body = response.content()
    channel.write(head)
    channel
        .writeAndFlush(DefaultHttpContent(body.readSlice(body.readableBytes() / 2)))
        .addListener(ChannelFutureListener.CLOSE)
}

private fun bytesOf(response: FullHttpResponse) =
    ByteArray(
        response.content().readableBytes(),
    ).also { response.content().getBytes(response.content().readerIndex(), it) }
