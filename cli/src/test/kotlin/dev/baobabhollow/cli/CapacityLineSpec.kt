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
                line.slope shouldBe (0.974 plusOrMinus 0.01)
                line.at(0.0) shouldBe (2.77 plusOrMinus 0.05)
                line.error shouldBe (1.0 plusOrMinus 0.3)
            }

            // Guards against an extrapolation from a single size.
            it("needs at least two different sizes") {
                shouldThrow<IllegalArgumentException> { fitLine(listOf(8.0 to 1.0, 8.0 to 2.0)) }
            }
        }
    })
