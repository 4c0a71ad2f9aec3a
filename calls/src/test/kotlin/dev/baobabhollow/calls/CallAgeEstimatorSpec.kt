package dev.baobabhollow.calls

import dev.baobabhollow.model.RouteId
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import kotlin.random.Random

private const val TIMEOUT_MILLIS = 1_200L
private val ROUTE = RouteId("r")

class CallAgeEstimatorSpec :
    DescribeSpec({
        describe("the age of a call") {
            // Guards against retries after a refusal that count as new calls.
            it("is the usual timeout minus the remaining time, also while half of the calls are retries") {
                val estimator = CallAgeEstimator()
                val random = Random(1)
                repeat(2_000) {
                    estimator.ageMillis(ROUTE, TIMEOUT_MILLIS)
                    estimator.ageMillis(ROUTE, random.nextLong(400, TIMEOUT_MILLIS))
                }
                estimator.ageMillis(ROUTE, TIMEOUT_MILLIS) shouldBe 0
                estimator.ageMillis(ROUTE, 900) shouldBe 300
            }

            // Guards against a few callers with long timeouts that make all other calls look old.
            it("is not changed by a few callers with longer timeouts") {
                val estimator = CallAgeEstimator()
                repeat(100) { estimator.ageMillis(ROUTE, if (it % 20 == 0) 60_000 else TIMEOUT_MILLIS) }
                estimator.ageMillis(ROUTE, TIMEOUT_MILLIS) shouldBe 0
                estimator.ageMillis(ROUTE, 60_000) shouldBe 0
            }

            it("follows a change of the usual timeout, and is estimated by route") {
                val estimator = CallAgeEstimator()
                repeat(1_000) { estimator.ageMillis(ROUTE, TIMEOUT_MILLIS) }
                repeat(200) { estimator.ageMillis(ROUTE, 500) }
                estimator.ageMillis(ROUTE, 500) shouldBe 0
                estimator.ageMillis(RouteId("other"), 100) shouldBe 0
            }
        }
    })
