package dev.baobabhollow.peers

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.longs.shouldBeGreaterThan
import io.kotest.matchers.shouldBe
import java.util.SplittableRandom

class BackoffSpec :
    DescribeSpec({
        // Guards against nodes that failed together and come back together.
        it("spreads waiting times over a range that doubles up to a limit") {
            val backoffs = List(200) { Backoff(100, 1_000, SplittableRandom(it.toLong())) }
            for (limit in listOf(100L, 200L, 400L, 800L, 1_000L, 1_000L)) {
                val waits = backoffs.map { it.nextMillis() }
                waits.all { it in 0..limit } shouldBe true
                waits.max() - waits.min() shouldBeGreaterThan limit * 9 / 10
            }
        }

        describe("the limit of transfers") {
            // Guards against a return of many nodes at once that takes a node's whole core and network.
            it("admits a number in each second and says how long to wait") {
                val limit = TransferRateLimiter(2)
                listOf(0L, 300L, 400L, 999L).map { limit.admit(it) } shouldBe listOf(null, null, 600L, 1L)
                limit.admit(1_000) shouldBe null
            }

            // Guards against a node that refuses every transfer after its clock was set back.
            it("opens again when the time goes back") {
                val limit = TransferRateLimiter(1)
                limit.admit(1_000_000) shouldBe null
                limit.admit(10) shouldBe null
            }
        }
    })
