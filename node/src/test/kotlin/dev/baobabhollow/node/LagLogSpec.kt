package dev.baobabhollow.node

import dev.baobabhollow.peers.ControlWork
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe

class LagLogSpec :
    DescribeSpec({
        val idle = ControlWork(busyMillis = 5, longestMillis = 2, longestStep = "tick")

        describe("the log of periods in which a node fell behind") {
            val written = mutableListOf<LagSample>()
            val log = LagLog(written::add)

            // Guards against a log that fills with lines of nodes that are in time.
            it("is silent while the node is in time") {
                log.log(LagSample(loopLagMillis = 10, control = idle, inFlight = 3))
                written shouldBe emptyList()
            }

            // Guards against late calls that no line explains.
            it("names a late event loop and a long step of the control thread") {
                val late = LagSample(loopLagMillis = 300, control = idle, inFlight = 3)
                val slow = LagSample(0, ControlWork(busyMillis = 200, longestMillis = 150, longestStep = "publish"), 3)
                log.log(late)
                log.log(slow)
                written shouldBe listOf(late, slow)
            }
        }
    })
