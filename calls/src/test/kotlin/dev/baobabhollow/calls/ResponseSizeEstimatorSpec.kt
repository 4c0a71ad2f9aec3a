package dev.baobabhollow.calls

import dev.baobabhollow.model.RouteId
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.longs.shouldBeInRange
import io.kotest.matchers.shouldBe

private val DOWNLOADS = RouteId("downloads")

class ResponseSizeEstimatorSpec :
    DescribeSpec({
        describe("the expected length of a response") {
            it("is zero for a route without responses") {
                ResponseSizeEstimator().expectedBytes(DOWNLOADS) shouldBe 0
            }

            it("is known from the first response, and follows a change") {
                val estimator = ResponseSizeEstimator()
                estimator.record(DOWNLOADS, 80_000)
                estimator.expectedBytes(DOWNLOADS) shouldBe 80_000
                repeat(60) { estimator.record(DOWNLOADS, 2_000) }
                estimator.expectedBytes(DOWNLOADS) shouldBeInRange 2_000L..2_400L
                estimator.expectedBytes(RouteId("other")) shouldBe 0
                estimator.retain(emptySet())
                estimator.expectedBytes(DOWNLOADS) shouldBe 0
            }
        }
    })
