package dev.baobabhollow.proxy

import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.DefaultHttpHeadersFactory
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpHeadersFactory
import io.netty.handler.codec.http.TooLongHttpHeaderException

/**
 * Memory of the objects of a header field on a 64-bit JVM with compressed references, without its characters: 40 bytes
 * for the entry, 56 for the name and 48 for the value, with padding. `HeaderFieldsSpec` measures it.
 */
private const val HEADER_FIELD_BYTES = 144L

/** Shortest header line: a name of one letter, a colon, and CR and LF. */
private const val SHORTEST_LINE_BYTES = 4

/** Most fields that a head of [maxHeaderBytes] with the ends of its lines can hold. */
fun maxHeaderFields(maxHeaderBytes: Int): Int = maxHeaderBytes / SHORTEST_LINE_BYTES

/** Estimated memory of the field [name] with [value], in bytes. */
private fun estimatedBytes(
    name: CharSequence,
    value: CharSequence,
) = HEADER_FIELD_BYTES + name.length + value.length

/** Estimated memory of [headers], in bytes. */
fun estimatedBytes(headers: HttpHeaders): Long {
    var bytes = 0L
    // The plain iterator would convert each name and value to a string.
    for (field in headers.iteratorCharSequence()) bytes += estimatedBytes(field.key, field.value)
    return bytes
}

/**
 * Creates the headers of a decoder as [base] does. Adding more than [maxFields] fails like a head that is too long: the
 * limit on bytes does not count the ends of lines, and a field takes up to 50 times the bytes of its line. [onField]
 * gets the estimated memory of each field in bytes.
 */
class LimitedHeadersFactory(
    private val base: DefaultHttpHeadersFactory,
    private val maxFields: Int,
    private val onField: (Long) -> Unit,
) : HttpHeadersFactory {
    override fun newHeaders(): HttpHeaders = LimitedHeaders()

    override fun newEmptyHeaders(): HttpHeaders = LimitedHeaders()

    private inner class LimitedHeaders : DefaultHttpHeaders(base.nameValidator, base.valueValidator) {
        private var fields = 0

        /** False once the decoded fields have been replaced, since what is added then comes from the node itself. */
        private var isDecoding = true

        override fun add(
            name: CharSequence,
            value: Any,
        ): HttpHeaders {
            if (!isDecoding) return super.add(name, value)
            if (++fields > maxFields) throw TooLongHttpHeaderException("more than $maxFields header fields")
            super.add(name, value)
            onField(estimatedBytes(name, value.toString()))
            return this
        }

        override fun clear(): HttpHeaders {
            isDecoding = false
            return super.clear()
        }
    }
}
