package dev.baobabhollow.cli

import dev.baobabhollow.cli.capacity.fitLine
import io.kotest.assertions.throwables.shouldThrow
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.doubles.plusOrMinus
import io.kotest.matchers.shouldBe

class CapacityLineSpec :
    DescribeSpec({
        describe("a fitted line") {
            it("finds slope, intercept and error") {
                val line = fitLine(listOf(8.0 to 11.0, 16.0 to 17.0, 32.0 to 35.0, 64.0 to 65.0))
                // The means are 30 and 32; around them the sum of products is 1,800 and the sum of squares in x 1,840.
                line.slope shouldBe (1_800.0 / 1_840.0 plusOrMinus 1e-9)
                line.at(0.0) shouldBe (32.0 - 30.0 * 1_800.0 / 1_840.0 plusOrMinus 1e-9)
                line.error shouldBe (0.8847 plusOrMinus 1e-4)
            }

            // Guards against an extrapolation from a single size.
            it("needs at least two different sizes") {
                shouldThrow<IllegalArgumentException> { fitLine(listOf(8.0 to 1.0, 8.0 to 2.0)) }
            }
        }
    })
