package dev.baobabhollow.peers

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe

private const val MILLI = 1_000_000L

class StepTimerSpec :
    DescribeSpec({
        describe("the times of control steps") {
            var now = 0L
            val times = StepTimer { now }

            // Guards against a busy control thread that is not noticed because no single step is long, or the other way round.
            it("add up, and name the longest step") {
                times.measure("tick") { now += 5 * MILLI }
                times.measure("publish") { now += 90 * MILLI }
                times.measure("tick") { now += 5 * MILLI }
                times.take() shouldBe ControlThreadTimes(busyMillis = 100, longestMillis = 90, longestStep = "publish")
            }

            it("start anew with each period") {
                times.take() shouldBe ControlThreadTimes(busyMillis = 0, longestMillis = 0, longestStep = "none")
            }
        }
    })
