package dev.baobabhollow.node

import dev.baobabhollow.peers.ControlThreadTimes
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe

class PressureLogSpec :
    DescribeSpec({
        val idle = ControlThreadTimes(busyMillis = 5, longestMillis = 2, longestStep = "tick")

        describe("the log of periods in which a node fell behind") {
            val written = mutableListOf<Pressure>()
            val log = PressureLog(written::add)

            // Guards against a log that fills with lines of nodes that are in time.
            it("is silent while the node is in time") {
                log.note(Pressure(loopLagMillis = 10, control = idle, inFlight = 3))
                written shouldBe emptyList()
            }

            // Guards against late calls that no line explains.
            it("names a late event loop and a long step of the control thread") {
                val late = Pressure(loopLagMillis = 300, control = idle, inFlight = 3)
                val slow =
                    Pressure(0, ControlThreadTimes(busyMillis = 200, longestMillis = 150, longestStep = "publish"), 3)
                log.note(late)
                log.note(slow)
                written shouldBe listOf(late, slow)
            }
        }
    })
