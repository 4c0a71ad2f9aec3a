package dev.baobabhollow.proxy

import io.netty.handler.codec.http.HttpDecoderConfig
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
    override fun handleTransferEncodingChunkedWithContentLength(message: HttpMessage) = rejectTwoLengths()
}

/** Decodes responses; [method] is that of the current request, because responses to HEAD have no body. */
internal class StrictResponseDecoder(
    settings: ProxySettings,
) : HttpResponseDecoder(decoderConfig(settings)) {
    var method: HttpMethod = HttpMethod.GET

    /** True if the buffered bytes do not form a complete message yet. */
    val hasPartialMessage: Boolean get() = actualReadableBytes() > 0

    override fun handleTransferEncodingChunkedWithContentLength(message: HttpMessage) = rejectTwoLengths()

    override fun isContentAlwaysEmpty(message: HttpMessage): Boolean =
        method == HttpMethod.HEAD || super.isContentAlwaysEmpty(message)
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
