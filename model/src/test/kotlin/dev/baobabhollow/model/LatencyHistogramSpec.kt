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

            // Guards against bytes from the network that end the control thread with an unexpected exception type.
            it("rejects bytes that are no histogram") {
                shouldThrow<IllegalArgumentException> { LatencyHistogram.decode(byteArrayOf(1, 2, 3)) }
            }
        }
    })
