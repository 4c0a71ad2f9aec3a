package dev.baobabhollow.peers

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe

private const val NANOS_PER_MILLI = 1_000_000L

class StepTimerSpec :
    DescribeSpec({
        describe("the times of control steps") {
            var now = 0L
            val timer = StepTimer { now }

            // Guards against a busy thread that goes unnoticed because no single step is long, and against the reverse.
            it("are summed up, with the longest step by name") {
                timer.measure("tick") { now += 5 * NANOS_PER_MILLI }
                timer.measure("publish") { now += 90 * NANOS_PER_MILLI }
                timer.measure("tick") { now += 5 * NANOS_PER_MILLI }
                timer.take() shouldBe ControlThreadTimes(busyMillis = 100, longestMillis = 90, longestStep = "publish")
            }

            it("start at zero in each period") {
                timer.take() shouldBe ControlThreadTimes(busyMillis = 0, longestMillis = 0, longestStep = "none")
            }
        }
    })
