package dev.baobabhollow.peers

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.longs.shouldBeGreaterThan
import io.kotest.matchers.shouldBe
import java.util.SplittableRandom

class BackoffSpec :
    DescribeSpec({
        // Guards against synchronized retries of nodes that failed together.
        it("spreads delays over a range that doubles up to a limit") {
            val backoffs = List(200) { Backoff(100, 1_000, SplittableRandom(it.toLong())) }
            for (limit in listOf(100L, 200L, 400L, 800L, 1_000L, 1_000L)) {
                val waits = backoffs.map { it.nextMillis() }
                waits.all { it in 0..limit } shouldBe true
                waits.max() - waits.min() shouldBeGreaterThan limit * 9 / 10
            }
        }

        describe("the rate limiter of transfers") {
            // Guards against many nodes that restart at once and saturate the core and the network of one node.
            it("admits a number of transfers in each second and returns the time to wait") {
                val limit = TransferRateLimiter(2)
                listOf(0L, 300L, 400L, 999L).map { limit.admit(it) } shouldBe listOf(null, null, 600L, 1L)
                limit.admit(1_000) shouldBe null
            }

            // Guards against a node that refuses every transfer after its clock was set back.
            it("admits transfers after the clock was set back") {
                val limit = TransferRateLimiter(1)
                limit.admit(1_000_000) shouldBe null
                limit.admit(10) shouldBe null
            }
        }
    })
