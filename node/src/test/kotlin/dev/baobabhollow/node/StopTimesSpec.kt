package dev.baobabhollow.node

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.longs.shouldBeInRange
import io.kotest.matchers.longs.shouldBeLessThan
import io.kotest.matchers.shouldBe

class StopTimesSpec :
    DescribeSpec({
        describe("a planned stop") {
            // Guards against a node that withholds its target from other nodes for seconds after callers have left.
            it("accepts calls until two probes, one second apart, have found the node not ready") {
                val times = StopTimes.of(LimitSettings(stopWithinSeconds = 6.0), 1_000)
                times.serveUntilMillis - 1_000 shouldBeInRange 2_000L..2_500L
                times.drainUntilMillis - 1_000 shouldBeInRange 5_000L..5_999L
            }

            it("reserves time for calls in flight when the stop time is short") {
                val times = StopTimes.of(LimitSettings(stopWithinSeconds = 2.0), 0)
                times.serveUntilMillis shouldBe 1_000
                times.serveUntilMillis shouldBeLessThan times.drainUntilMillis
            }

            // Guards against a slow announcement during which calls are accepted that the end of the stop cuts off.
            it("refuses new calls early enough for those accepted last, also when the announcement is slow") {
                val times = StopTimes.of(LimitSettings(stopWithinSeconds = 6.0), 0)
                times.announceUntilMillis - times.serveUntilMillis shouldBeInRange 400L..1_000L
                val long = StopTimes.of(LimitSettings(drainMillis = 30_000), 0)
                long.announceUntilMillis shouldBe 3_000
            }

            it("drains at once if no platform probes the node") {
                val times = StopTimes.of(LimitSettings(drainMillis = 700), 0)
                times shouldBe StopTimes(0, 700)
            }
        }
    })
