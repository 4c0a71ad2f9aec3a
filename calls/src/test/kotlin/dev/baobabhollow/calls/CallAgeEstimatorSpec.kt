package dev.baobabhollow.calls

import dev.baobabhollow.model.RouteId
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import kotlin.random.Random

private const val GRANTED_MILLIS = 1_200L
private val ROUTE = RouteId("r")

class CallAgeEstimatorSpec :
    DescribeSpec({
        describe("the age of a call") {
            // Guards against calls that come back after a refusal and count as new ones.
            it("is what its caller's usual time has lost, also while half of the calls come back") {
                val patience = CallAgeEstimator()
                val random = Random(1)
                repeat(2_000) {
                    patience.ageMillis(ROUTE, GRANTED_MILLIS)
                    patience.ageMillis(ROUTE, random.nextLong(400, GRANTED_MILLIS))
                }
                patience.ageMillis(ROUTE, GRANTED_MILLIS) shouldBe 0
                patience.ageMillis(ROUTE, 900) shouldBe 300
            }

            // Guards against a few patient callers that make all others look late.
            it("is not changed by callers that wait longer than most") {
                val patience = CallAgeEstimator()
                repeat(100) { patience.ageMillis(ROUTE, if (it % 20 == 0) 60_000 else GRANTED_MILLIS) }
                patience.ageMillis(ROUTE, GRANTED_MILLIS) shouldBe 0
                patience.ageMillis(ROUTE, 60_000) shouldBe 0
            }

            it("follows callers that begin to grant another time, and each route has its own") {
                val patience = CallAgeEstimator()
                repeat(1_000) { patience.ageMillis(ROUTE, GRANTED_MILLIS) }
                repeat(200) { patience.ageMillis(ROUTE, 500) }
                patience.ageMillis(ROUTE, 500) shouldBe 0
                patience.ageMillis(RouteId("other"), 100) shouldBe 0
            }
        }
    })
