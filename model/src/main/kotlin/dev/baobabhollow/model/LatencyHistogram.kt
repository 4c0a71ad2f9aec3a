package dev.baobabhollow.model

import org.HdrHistogram.Histogram

/**
 * Histogram of latencies in microseconds, from 1 µs to 60 s with two significant digits. Mergeable and bounded in size.
 * Not thread-safe.
 */
class LatencyHistogram private constructor(
    private val histogram: Histogram,
) {
    constructor() : this(newHistogram())

    /** Number of recorded values. */
    val count: Long get() = histogram.totalCount

    /** Records one latency. Values outside the range are clamped to it. */
    fun record(micros: Long) = histogram.recordValue(micros.coerceIn(1, MAX_MICROS))

    /** Adds all values of [other]. */
    fun merge(other: LatencyHistogram) = histogram.add(other.histogram)

    /** Removes all values. */
    fun reset() = histogram.reset()

    /** Returns the latency in microseconds at [quantile] (0..1), or 0 if the histogram is empty. */
    fun quantileMicros(quantile: Double): Long =
        if (count ==
            0L
        ) {
            0
        } else {
            histogram.getValueAtPercentile(quantile * PERCENT)
        }

    /** Returns the number of values above [micros], within the resolution of the histogram. */
    fun countAbove(micros: Long): Long {
        if (micros >= histogram.maxValue) return 0
        return histogram.getCountBetweenValues(histogram.nextNonEquivalentValue(micros.coerceAtLeast(0)), MAX_MICROS)
    }

    /**
     * Encodes the histogram for [decode]: for each value that occurs, its difference to the previous one and its count.
     */
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

    /** Adds all values in [bytes], a result of [encode]. Throws [IllegalArgumentException] if [bytes] are malformed. */
    fun mergeEncoded(bytes: ByteArray) = forEachEncoded(bytes, histogram::recordValueWithCount)

    /** Encodes and decodes histograms. */
    companion object {
        /** Highest latency in the range, in microseconds. */
        const val MAX_MICROS = 60_000_000L
        private const val SIGNIFICANT_DIGITS = 2
        private const val PERCENT = 100.0

        /** Decodes the result of [encode]. Throws [IllegalArgumentException] if [bytes] are malformed. */
        fun decode(bytes: ByteArray): LatencyHistogram = LatencyHistogram().apply { mergeEncoded(bytes) }

        private val BUCKETS = newHistogram()

        /** Encodes a histogram of the first [count] values of [micros], which are sorted in place. */
        fun encodeAll(
            micros: LongArray,
            count: Int,
        ): ByteArray {
            micros.sort(0, count)
            val out = VarintWriter()
            var previous = 0L
            var index = 0
            while (index < count) {
                val value = bucketOf(micros[index])
                val first = index
                while (index < count && bucketOf(micros[index]) == value) index++
                out.write(value - previous)
                out.write((index - first).toLong())
                previous = value
            }
            return out.toByteArray()
        }

        private fun bucketOf(micros: Long) = BUCKETS.lowestEquivalentValue(micros.coerceIn(1, MAX_MICROS))

        /**
         * Visits the latencies in [bytes], a result of [encode], in ascending order: the lowest value of each bucket
         * and its number of occurrences. Throws [IllegalArgumentException] if [bytes] are malformed.
         */
        inline fun forEachEncoded(
            bytes: ByteArray,
            visit: (micros: Long, occurrences: Long) -> Unit,
        ) {
            val reader = VarintReader(bytes)
            var value = 0L
            while (reader.hasRemaining()) {
                value += reader.read()
                val occurrences = reader.read()
                require(value in 1..MAX_MICROS && occurrences > 0) { "not an encoded latency histogram: value $value" }
                visit(value, occurrences)
            }
        }

        private fun newHistogram() = Histogram(1, MAX_MICROS, SIGNIFICANT_DIGITS)
    }
}
