package dev.baobabhollow.model

import io.kotest.assertions.throwables.shouldThrow
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.longs.shouldBeInRange
import io.kotest.matchers.shouldBe

class LatencyHistogramSpec :
    DescribeSpec({
        describe("a latency histogram") {
            val histogram = LatencyHistogram()
            (1L..100L).forEach { histogram.record(it * 1_000) }

            it("keeps its values through encoding") {
                val decoded = LatencyHistogram.decode(histogram.encode())
                decoded.count shouldBe 100
                decoded.quantileMicros(0.5) shouldBeInRange 49_000L..51_000L
            }

            it("counts values above a limit") {
                histogram.countAbove(90_000) shouldBeInRange 9L..11L
            }

            // Guards against two encoders that disagree on the buckets or on values outside the range.
            it("encodes single values as the histogram does") {
                val values = longArrayOf(70_000_000, 5, 0, 1_234_567, 1_234_999, 999, 5, 60_000_000)
                val recorded = LatencyHistogram().apply { values.forEach { record(it) } }
                LatencyHistogram.encodeAll(values.copyOf(), values.size) shouldBe recorded.encode()
            }

            // Guards against a number without an end, a truncated number and a value above the range.
            it("rejects truncated, endless and too large numbers") {
                val endless = ByteArray(20) { -1 }
                val tooLarge = byteArrayOf(-1, -1, -1, -1, 127, 1)
                listOf(byteArrayOf(5), byteArrayOf(-128), endless, tooLarge, byteArrayOf(5, 0)).forEach {
                    shouldThrow<IllegalArgumentException> { LatencyHistogram.decode(it) }
                }
            }

            // Guards against bytes from the network that end the control thread with an unexpected exception type.
            it("rejects bytes that are no histogram") {
                shouldThrow<IllegalArgumentException> { LatencyHistogram.decode(byteArrayOf(1, 2, 3)) }
            }
        }
    })
