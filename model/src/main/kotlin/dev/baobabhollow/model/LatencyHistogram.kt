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
        if (micros >= MAX_MICROS) return 0
        return count - histogram.getCountBetweenValues(0, micros.coerceAtLeast(0))
    }

    /** Encodes the histogram for [decode]. */
    fun encode(): ByteArray {
        val buffer = ByteBuffer.allocate(histogram.neededByteBufferCapacity)
        val length = histogram.encodeIntoCompressedByteBuffer(buffer)
        return buffer.array().copyOf(length)
    }

    /** Decodes histograms. */
    companion object {
        /** Highest latency that is told apart, in microseconds. */
        const val MAX_MICROS = 60_000_000L
        private const val SIGNIFICANT_DIGITS = 2
        private const val PERCENT = 100.0

        /** Decodes what [encode] returned. Throws [IllegalArgumentException] for anything else. */
        fun decode(bytes: ByteArray): LatencyHistogram {
            val decoded = runCatching { Histogram.decodeFromCompressedByteBuffer(ByteBuffer.wrap(bytes), MAX_MICROS) }
            val source = decoded.getOrElse { throw IllegalArgumentException("not an encoded latency histogram", it) }
            return LatencyHistogram(newHistogram().apply { add(source) })
        }

        private fun newHistogram() = Histogram(1, MAX_MICROS, SIGNIFICANT_DIGITS)
    }
}
