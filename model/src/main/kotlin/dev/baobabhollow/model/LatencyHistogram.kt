package dev.baobabhollow.model

import org.HdrHistogram.Histogram
import java.nio.ByteBuffer

/**
 * Counts latencies in microseconds from 1 µs to 60 s with two significant digits. Mergeable and bounded in size. Not safe
 * for use by several threads.
 */
class LatencyHistogram private constructor(
    private val histogram: Histogram,
) {
    constructor() : this(newHistogram())

    /** Number of recorded values. */
    val count: Long get() = histogram.totalCount

    /** Records one latency; values outside the range count as its nearest end. */
    fun record(micros: Long) = histogram.recordValue(micros.coerceIn(1, MAX_MICROS))

    /** Adds all values of [other]. */
    fun merge(other: LatencyHistogram) = histogram.add(other.histogram)

    /** Forgets all values. */
    fun reset() = histogram.reset()

    /** Returns the latency in microseconds that [quantile] (0..1) of the values do not exceed, or 0 without values. */
    fun quantileMicros(quantile: Double): Long =
        if (count ==
            0L
        ) {
            0
        } else {
            histogram.getValueAtPercentile(quantile * PERCENT)
        }

    /** Returns how many values are above [micros], up to the resolution of the histogram. */
    fun countAbove(micros: Long): Long {
        if (micros >= histogram.maxValue) return 0
        return histogram.getCountBetweenValues(histogram.nextNonEquivalentValue(micros.coerceAtLeast(0)), MAX_MICROS)
    }

    /** Encodes the histogram for [decode]: for each value that occurs, its distance to the one before and its count. */
    fun encode(): ByteArray {
        if (count == 0L) return ByteArray(0)
        val out = VarintWriter()
        var previous = 0L
        var value = histogram.lowestEquivalentValue(histogram.minNonZeroValue)
        val last = histogram.maxValue
        while (value <= last) {
            val occurrences = histogram.getCountAtValue(value)
            if (occurrences > 0) {
                out.write(value - previous)
                out.write(occurrences)
                previous = value
            }
            value = histogram.nextNonEquivalentValue(value)
        }
        return out.toByteArray()
    }

    /**
     * Replaces all values by those that [encode] returned as [bytes], without allocating a histogram. Throws
     * [IllegalArgumentException] for anything else; the content is then undefined until the next [reset] or load.
     */
    fun load(bytes: ByteArray) {
        histogram.reset()
        mergeEncoded(bytes)
    }

    /** Adds all values that [encode] returned as [bytes]. Throws [IllegalArgumentException] as [load] does. */
    fun mergeEncoded(bytes: ByteArray) {
        val source = ByteBuffer.wrap(bytes)
        var value = 0L
        while (source.hasRemaining()) {
            value += source.readVarint()
            val occurrences = source.readVarint()
            require(value in 1..MAX_MICROS && occurrences > 0) { "not an encoded latency histogram: value $value" }
            histogram.recordValueWithCount(value, occurrences)
        }
    }

    /** Decodes histograms. */
    companion object {
        /** Highest latency that is told apart, in microseconds. */
        const val MAX_MICROS = 60_000_000L
        private const val SIGNIFICANT_DIGITS = 2
        private const val PERCENT = 100.0
        private const val MAX_VARINT_SHIFT = 42

        /** Decodes what [encode] returned. Throws [IllegalArgumentException] for anything else. */
        fun decode(bytes: ByteArray): LatencyHistogram = LatencyHistogram().apply { mergeEncoded(bytes) }

        private fun ByteBuffer.readVarint(): Long {
            var result = 0L
            var shift = 0
            do {
                require(hasRemaining() && shift <= MAX_VARINT_SHIFT) { "not an encoded latency histogram: bad number" }
                val next = get().toLong()
                result = result or ((next and VARINT_MASK) shl shift)
                shift += VARINT_BITS
            } while (next < 0)
            return result
        }

        private fun newHistogram() = Histogram(1, MAX_MICROS, SIGNIFICANT_DIGITS)
    }
}

private const val VARINT_BITS = 7
private const val VARINT_MASK = 0x7FL

/** Writes nonnegative numbers in groups of 7 bits, lowest first; all bytes but the last have the high bit set. */
private class VarintWriter {
    private var bytes = ByteArray(INITIAL_BYTES)
    private var size = 0

    fun write(value: Long) {
        if (bytes.size - size < MAX_VARINT_BYTES) bytes = bytes.copyOf(bytes.size * 2)
        var rest = value
        while (rest > VARINT_MASK) {
            bytes[size++] = ((rest and VARINT_MASK) or (VARINT_MASK + 1)).toByte()
            rest = rest ushr VARINT_BITS
        }
        bytes[size++] = rest.toByte()
    }

    fun toByteArray(): ByteArray = bytes.copyOf(size)

    private companion object {
        const val INITIAL_BYTES = 64
        const val MAX_VARINT_BYTES = 10
    }
}
