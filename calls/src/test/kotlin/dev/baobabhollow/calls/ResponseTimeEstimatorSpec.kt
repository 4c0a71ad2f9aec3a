package dev.baobabhollow.calls

import dev.baobabhollow.model.RouteId
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.longs.shouldBeInRange
import io.kotest.matchers.shouldBe

class ResponseTimeEstimatorSpec :
    DescribeSpec({
        val lookup = RouteId("lookup")
        val upload = RouteId("upload")

        fun warm(
            estimator: ResponseTimeEstimator,
            percent: Int = 100,
        ) {
            estimator.onStated(percent, 0)
            repeat(50) { estimator.onServed(lookup, 60_000L * percent / 100, 0) }
        }

        describe("a target that states no work duration") {
            // Guards against changes for deployments whose targets do not state it.
            it("has no estimate") {
                val estimator = ResponseTimeEstimator()
                estimator.onServed(lookup, 60_000, 0)
                estimator.estimate(0, 8, 0) shouldBe null
                estimator.workDurationPercent shouldBe null
            }
        }

        describe("a target that states its work duration") {
            it("has no estimate before its first response") {
                val estimator = ResponseTimeEstimator()
                estimator.onStated(250, 0)
                estimator.estimate(0, 8, 0) shouldBe null
            }

            // Guards against entry nodes that learn of a slow phase only after their own slow calls.
            it("is expected to be slower from the moment at which it states so") {
                val estimator = ResponseTimeEstimator()
                warm(estimator)
                estimator.onStated(250, 100)
                estimator.estimate(0, 8, 100)?.serviceMicros shouldBe 150_000L
                estimator.estimate(0, 8, 100)?.usualServiceMicros?.shouldBeInRange(60_000L..62_000L)
            }

            // Guards against a slow phase that makes the target count as slow after its end.
            it("has the same usual time whether it was measured in a slow phase or not") {
                val estimator = ResponseTimeEstimator()
                warm(estimator, percent = 250)
                estimator.onStated(100, 100)
                estimator.estimate(0, 8, 100)?.serviceMicros?.shouldBeInRange(59_900L..60_100L)
            }

            // Guards against decisions by a figure that has changed long ago.
            it("approaches its usual time as the figure grows old") {
                val estimator = ResponseTimeEstimator()
                warm(estimator)
                estimator.onStated(250, 100)
                estimator.estimate(0, 8, 400)?.serviceMicros?.shouldBeInRange(104_000L..107_000L)
                estimator.estimate(0, 8, 5_000)?.serviceMicros?.shouldBeInRange(60_000L..62_000L)
            }

            it("makes a call wait for those ahead of it, at the speed of the moment") {
                val estimator = ResponseTimeEstimator()
                warm(estimator)
                estimator.estimate(7, 8, 0)?.waitMicros shouldBe 0L
                estimator.estimate(8, 8, 0)?.waitMicros shouldBe 60_000L / 8
                estimator.onStated(250, 0)
                estimator.onStated(250, 100)
                estimator.estimate(11, 8, 100)?.waitMicros shouldBe 4 * 150_000L / 8
            }

            // Guards against the long calls of one route that count as those of all after few of them.
            it("expects the mean of its routes, by their shares of the calls") {
                val estimator = ResponseTimeEstimator()
                warm(estimator)
                repeat(200) { i ->
                    estimator.onServed(
                        if (i % 10 ==
                            0
                        ) {
                            upload
                        } else {
                            lookup
                        },
                        if (i % 10 == 0) 600_000 else 60_000,
                        0,
                    )
                }
                estimator.estimate(0, 8, 0)?.serviceMicros?.shouldBeInRange(90_000L..135_000L)
                estimator.retain(setOf(lookup))
                estimator.estimate(0, 8, 0)?.serviceMicros?.shouldBeInRange(59_900L..60_100L)
            }
        }
    })
