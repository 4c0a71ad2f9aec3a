package dev.baobabhollow.proxy

import io.netty.buffer.ByteBuf
import io.netty.channel.ChannelHandlerContext
import io.netty.handler.codec.http.DefaultHttpHeadersFactory
import io.netty.handler.codec.http.HttpDecoderConfig
import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpRequestDecoder
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseDecoder
import io.netty.handler.codec.http.HttpResponseEncoder
import io.netty.handler.codec.http.LastHttpContent

/** Rejects messages with two lengths, because nodes and targets could disagree on their ends (request smuggling). */
private fun rejectTwoLengths(): Nothing = throw IllegalArgumentException("both content-length and transfer-encoding")

/**
 * Decodes requests whose heads have up to [maxHeaderBytes]. Closes the connection instead of decoding more of a head
 * while [memory] is exhausted.
 */
internal class StrictRequestDecoder private constructor(
    settings: ProxySettings,
    maxHeaderBytes: Int,
    private val memory: HeldMemory,
    private val partial: PartialMessage,
) : HttpRequestDecoder(decoderConfig(settings, maxHeaderBytes, partial)) {
    constructor(settings: ProxySettings, memory: HeldMemory, maxHeaderBytes: Int = settings.maxHeaderBytes) :
        this(settings, maxHeaderBytes, memory, PartialMessage(memory))

    /** True from the head of a request to the end of its body. */
    private var isInBody = false

    /** Memory that the received part of an incomplete head takes, in bytes. */
    val partialBytes: Long get() = actualReadableBytes() + partial.bytes

    /** Part of [partialBytes] that has not been decoded, and is not counted as held yet. */
    val undecodedBytes: Long get() = actualReadableBytes().toLong()

    override fun decode(
        ctx: ChannelHandlerContext,
        buffer: ByteBuf,
        out: MutableList<Any>,
    ) {
        if (memory.isExhausted && (!isInBody || partial.bytes > ORDINARY_HEAD_BYTES)) {
            buffer.skipBytes(buffer.readableBytes())
            ctx.close()
            return
        }
        partial.measure(buffer, out) { super.decode(ctx, buffer, out) }
        out.lastOrNull()?.let { isInBody = it !is LastHttpContent }
    }

    override fun handlerRemoved0(ctx: ChannelHandlerContext) {
        partial.release()
        super.handlerRemoved0(ctx)
    }

    override fun handleTransferEncodingChunkedWithContentLength(message: HttpMessage) = rejectTwoLengths()
}

/** Decodes responses; [method] is that of the current request, because responses to HEAD have no body. */
internal class StrictResponseDecoder private constructor(
    settings: ProxySettings,
    private val memory: HeldMemory,
    private val partial: PartialMessage,
) : HttpResponseDecoder(decoderConfig(settings, settings.maxHeaderBytes + MESH_HEADER_BYTES, partial)) {
    constructor(settings: ProxySettings, memory: HeldMemory) : this(settings, memory, PartialMessage(memory))

    var method: HttpMethod = HttpMethod.GET

    /** Memory that the received part of an incomplete head takes, in bytes. */
    val partialBytes: Long get() = actualReadableBytes() + partial.bytes

    /** Part of [partialBytes] that has not been decoded, and is not counted as held yet. */
    val undecodedBytes: Long get() = actualReadableBytes().toLong()

    override fun decode(
        ctx: ChannelHandlerContext,
        buffer: ByteBuf,
        out: MutableList<Any>,
    ) {
        // Ordinary responses release memory when they are complete, so they are still decoded.
        if (memory.isExhausted && partial.bytes > ORDINARY_HEAD_BYTES) {
            buffer.skipBytes(buffer.readableBytes())
            ctx.close()
            return
        }
        partial.measure(buffer, out) { super.decode(ctx, buffer, out) }
    }

    override fun handlerRemoved0(ctx: ChannelHandlerContext) {
        partial.release()
        super.handlerRemoved0(ctx)
    }

    override fun handleTransferEncodingChunkedWithContentLength(message: HttpMessage) = rejectTwoLengths()

    override fun isContentAlwaysEmpty(message: HttpMessage): Boolean =
        method == HttpMethod.HEAD || super.isContentAlwaysEmpty(message)

    /** Rejects what the decoder would read as some other number, or would pass on although it is not a status. */
    override fun createMessage(initialLine: Array<String>): HttpMessage {
        require(STATUS.matches(initialLine[1])) { "invalid status: ${initialLine[1]}" }
        return super.createMessage(initialLine)
    }

    private companion object {
        val STATUS = Regex("[1-5][0-9]{2}")
    }
}

/**
 * Counts in [memory] what a decoder has taken from its buffer and keeps until the message is complete, as soon as it is
 * decoded: one read may yield many times its bytes.
 */
private class PartialMessage(
    private val memory: HeldMemory,
) {
    private val account = HeldAccount(memory)
    private var fieldBytes = 0L

    var bytes = 0L
        private set

    fun onField(bytes: Long) {
        fieldBytes += bytes
    }

    /** Runs [decode], which takes bytes from [buffer] and adds complete messages to [out]. */
    inline fun measure(
        buffer: ByteBuf,
        out: List<Any>,
        decode: () -> Unit,
    ) {
        val start = buffer.readerIndex()
        val messages = out.size
        fieldBytes = 0
        decode()
        bytes = if (out.size > messages) 0 else bytes + (buffer.readerIndex() - start) + fieldBytes
        account.set(bytes)
    }

    fun release() = account.set(0)
}

/** Encodes responses; [method] is that of the current request, because responses to HEAD have no body. */
internal class CallerResponseEncoder : HttpResponseEncoder() {
    var method: HttpMethod = HttpMethod.GET

    override fun isContentAlwaysEmpty(message: HttpResponse): Boolean =
        method == HttpMethod.HEAD || super.isContentAlwaysEmpty(message)
}

/** Headers that an entry node adds to a request, with room to spare; a legal head must not fail at the second hop. */
internal const val MESH_HEADER_BYTES = 2_048

/** Estimated memory that the head of an ordinary message does not exceed, in bytes. */
internal const val ORDINARY_HEAD_BYTES = 16_384L

private fun decoderConfig(
    settings: ProxySettings,
    maxHeaderBytes: Int,
    partial: PartialMessage,
): HttpDecoderConfig {
    val maxFields = maxHeaderFields(maxHeaderBytes)
    val headers = DefaultHttpHeadersFactory.headersFactory()
    val trailers = DefaultHttpHeadersFactory.trailersFactory()
    return HttpDecoderConfig()
        .setMaxInitialLineLength(settings.maxInitialLineBytes)
        .setMaxHeaderSize(maxHeaderBytes)
        .setHeadersFactory(LimitedHeadersFactory(headers, maxFields, partial::onField))
        .setTrailersFactory(LimitedHeadersFactory(trailers, maxFields, partial::onField))
}
