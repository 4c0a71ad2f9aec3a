package dev.baobabhollow.bench.distribution

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.doubles.plusOrMinus
import io.kotest.matchers.doubles.shouldBeGreaterThan
import io.kotest.matchers.shouldBe

class DistributionBenchSpec :
    DescribeSpec({
        // Guards against a line fit with swapped axes.
        it("fits a line by least squares") {
            val slope = fitLine("peers", "bytes", listOf(1.0 to 5.0, 2.0 to 7.0, 4.0 to 11.0))
            slope.perNode shouldBe (2.0 plusOrMinus 1e-9)
            slope.atZero shouldBe (3.0 plusOrMinus 1e-9)
        }

        // Guards against a benchmark that reports results for a fleet that never received a change.
        it("measures a small fleet of each design") {
            val options =
                DistributionOptions(sizes = listOf(3), domains = 2, idleMillis = 500, changes = 2, pauseMillis = 50)
            val report = runDistributionBench(options)
            report.rows.map { it.design } shouldBe listOf("peers", "baseline")
            report.rows.first().idleBytesPerNodeSecond shouldBeGreaterThan 0.0
            report.rows.forEach { it.convergenceMaxMillis shouldBeGreaterThan 0.0 }
        }
    })
