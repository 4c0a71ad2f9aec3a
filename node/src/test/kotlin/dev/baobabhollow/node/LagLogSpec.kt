package dev.baobabhollow.node

import dev.baobabhollow.peers.ControlThreadTimes
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe

class LagLogSpec :
    DescribeSpec({
        val idle = ControlThreadTimes(busyMillis = 5, longestMillis = 2, longestStep = "tick")

        describe("the log of periods in which a node fell behind") {
            val written = mutableListOf<LagSample>()
            val log = LagLog(written::add)

            // Guards against a log full of lines about nodes that are not late.
            it("is empty while the node is not late") {
                log.log(LagSample(loopLagMillis = 10, control = idle, inFlight = 3))
                written shouldBe emptyList()
            }

            // Guards against late calls without a log line that explains them.
            it("records a late event loop and a long step of the control thread") {
                val late = LagSample(loopLagMillis = 300, control = idle, inFlight = 3)
                val slow =
                    LagSample(0, ControlThreadTimes(busyMillis = 200, longestMillis = 150, longestStep = "publish"), 3)
                log.log(late)
                log.log(slow)
                written shouldBe listOf(late, slow)
            }
        }
    })
