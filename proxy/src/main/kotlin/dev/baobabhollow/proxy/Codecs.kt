package dev.baobabhollow.proxy

import io.netty.buffer.ByteBuf
import io.netty.channel.ChannelHandlerContext
import io.netty.handler.codec.http.HttpConstants
import io.netty.handler.codec.http.HttpDecoderConfig
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpRequestDecoder
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseDecoder
import io.netty.handler.codec.http.HttpResponseEncoder

/** Rejects messages with two lengths, because nodes and targets could disagree on their ends (request smuggling). */
private fun rejectTwoLengths(): Nothing = throw IllegalArgumentException("both content-length and transfer-encoding")

internal class StrictRequestDecoder(
    settings: ProxySettings,
) : HttpRequestDecoder(decoderConfig(settings)) {
    private val partial = PartialMessage()

    /** Memory that the received part of an incomplete head takes, in bytes. */
    val partialBytes: Long get() = actualReadableBytes() + partial.bytes

    override fun decode(
        ctx: ChannelHandlerContext,
        buffer: ByteBuf,
        out: MutableList<Any>,
    ) = partial.measure(buffer, out) { super.decode(ctx, buffer, out) }

    override fun handleTransferEncodingChunkedWithContentLength(message: HttpMessage) = rejectTwoLengths()
}

/** Decodes responses; [method] is that of the current request, because responses to HEAD have no body. */
internal class StrictResponseDecoder(
    settings: ProxySettings,
) : HttpResponseDecoder(decoderConfig(settings)) {
    var method: HttpMethod = HttpMethod.GET

    private val partial = PartialMessage()

    /** Memory that the received part of an incomplete head takes, in bytes. */
    val partialBytes: Long get() = actualReadableBytes() + partial.bytes

    override fun decode(
        ctx: ChannelHandlerContext,
        buffer: ByteBuf,
        out: MutableList<Any>,
    ) = partial.measure(buffer, out) { super.decode(ctx, buffer, out) }

    override fun handleTransferEncodingChunkedWithContentLength(message: HttpMessage) = rejectTwoLengths()

    override fun isContentAlwaysEmpty(message: HttpMessage): Boolean =
        method == HttpMethod.HEAD || super.isContentAlwaysEmpty(message)
}

/** Measures what a decoder has taken from its buffer and keeps until the message is complete. */
private class PartialMessage {
    var bytes = 0L
        private set

    /** Runs [decode], which takes bytes from [buffer] and adds complete messages to [out]. */
    inline fun measure(
        buffer: ByteBuf,
        out: List<Any>,
        decode: () -> Unit,
    ) {
        val start = buffer.readerIndex()
        val messages = out.size
        decode()
        if (out.size > messages) {
            bytes = 0
        } else {
            val count = buffer.readerIndex() - start
            if (count > 0) bytes += count + linesIn(buffer, start, count) * HEADER_FIELD_BYTES
        }
    }

    private fun linesIn(
        buffer: ByteBuf,
        start: Int,
        count: Int,
    ): Long {
        var lines = 0L
        buffer.forEachByte(start, count) {
            if (it == HttpConstants.LF) lines++
            true
        }
        return lines
    }
}

/** Estimated memory of the objects of a header field, in bytes. */
private const val HEADER_FIELD_BYTES = 128L

/** Estimated memory of [headers], in bytes. */
internal fun estimatedBytes(headers: HttpHeaders): Long {
    var bytes = 0L
    // The plain iterator would convert each name and value to a string.
    for (field in headers.iteratorCharSequence()) bytes += HEADER_FIELD_BYTES + field.key.length + field.value.length
    return bytes
}

/** Encodes responses; [method] is that of the current request, because responses to HEAD have no body. */
internal class CallerResponseEncoder : HttpResponseEncoder() {
    var method: HttpMethod = HttpMethod.GET

    override fun isContentAlwaysEmpty(message: HttpResponse): Boolean =
        method == HttpMethod.HEAD || super.isContentAlwaysEmpty(message)
}

private fun decoderConfig(settings: ProxySettings): HttpDecoderConfig =
    HttpDecoderConfig()
        .setMaxInitialLineLength(settings.maxInitialLineBytes)
        .setMaxHeaderSize(settings.maxHeaderBytes)
