package dev.baobabhollow.model

import org.HdrHistogram.Histogram

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

    /** Adds all values that [encode] returned as [bytes]. Throws [IllegalArgumentException] as [decode] does. */
    fun mergeEncoded(bytes: ByteArray) = forEachEncoded(bytes, histogram::recordValueWithCount)

    /** Decodes histograms. */
    companion object {
        /** Highest latency that is told apart, in microseconds. */
        const val MAX_MICROS = 60_000_000L
        private const val SIGNIFICANT_DIGITS = 2
        private const val PERCENT = 100.0

        /** Decodes what [encode] returned. Throws [IllegalArgumentException] for anything else. */
        fun decode(bytes: ByteArray): LatencyHistogram = LatencyHistogram().apply { mergeEncoded(bytes) }

        private val STEPS = newHistogram()

        /** Returns what [encode] returns after recording the first [count] of [micros], which are sorted in place. */
        fun encodeAll(
            micros: LongArray,
            count: Int,
        ): ByteArray {
            micros.sort(0, count)
            val out = VarintWriter()
            var previous = 0L
            var index = 0
            while (index < count) {
                val value = stepOf(micros[index])
                val first = index
                while (index < count && stepOf(micros[index]) == value) index++
                out.write(value - previous)
                out.write((index - first).toLong())
                previous = value
            }
            return out.toByteArray()
        }

        private fun stepOf(micros: Long) = STEPS.lowestEquivalentValue(micros.coerceIn(1, MAX_MICROS))

        /**
         * Visits the latencies in [bytes] that [encode] returned, in ascending order, each as the lowest value of its
         * resolution step with the number of its occurrences. Throws [IllegalArgumentException] for anything else.
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
