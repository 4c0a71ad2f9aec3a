package dev.baobabhollow.bench.calls

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.comparables.shouldBeGreaterThan
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain

/** Guards against a benchmark that reports results without having measured calls. Performance itself is not checked. */
class CallsBenchSpec :
    DescribeSpec({
        describe("the calls benchmark") {
            it("sends calls over all paths and under overload") {
                val options =
                    CallsBenchOptions(
                        latencyCallsPerSecond = 100,
                        latencyRounds = 1,
                        latencySeconds = 1,
                        warmUpSeconds = 1,
                        loadFactors = listOf(1.0),
                        overloadSeconds = 1,
                        targets = 2,
                        slots = 1,
                        pipelineRounds = 5,
                        slowReaders = 3,
                        longResponseBytes = 100_000,
                        slowReadPauseMillis = 1,
                    )
                val report = CallsBench(options).run()
                report.latency.map { it.path } shouldBe listOf("straight", "one hop", "two hops")
                report.latency.forEach { it.calls - it.failed shouldBeGreaterThan 20L }
                report.overload.size shouldBe 4
                report.overload.forEach { it.goodPerSecond shouldBeGreaterThan 5.0 }
                report.pipelining.map { it.requests } shouldBe listOf(5L, 20L)
                report.slowReaders.wholeResponses shouldBe 3
                report.toTable() shouldContain "two hops"
                report.toJson() shouldContain "addedP99Millis"
            }
        }
    })
