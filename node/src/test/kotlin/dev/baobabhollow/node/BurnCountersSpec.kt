package dev.baobabhollow.node

import dev.baobabhollow.model.MemberId
import dev.baobabhollow.model.MeshConfig
import dev.baobabhollow.model.RouteId
import dev.baobabhollow.model.ServiceId
import dev.baobabhollow.proxy.BurnCount
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe

private fun count(
    calls: Long,
    errors: Long = 0,
    slow: Long = 0,
) = listOf(BurnCount(MemberId("m"), ServiceId("s"), RouteId("r"), calls, errors, slow))

private fun BurnCounters.buckets() = routes(MeshConfig.EMPTY).single().buckets

class BurnCountersSpec :
    DescribeSpec({
        describe("burn counters") {
            it("add only the increase, because the proxy's counts are cumulative") {
                val counters = BurnCounters()
                counters.sample(count(3, errors = 1), 10_000)
                counters.sample(count(5, errors = 1, slow = 2), 14_999)
                counters.sample(count(9, errors = 2, slow = 2), 15_000)
                counters.buckets() shouldBe
                    listOf(
                        BurnBucket(10_000, calls = 5, errors = 1, slow = 2),
                        BurnBucket(15_000, calls = 4, errors = 1),
                    )
            }

            it("keep a bounded number of buckets, so that memory use does not grow with uptime") {
                val counters = BurnCounters()
                repeat(
                    BurnCounters.KEPT_BUCKETS + 10,
                ) { counters.sample(count(it + 1L), it * BurnCounters.BUCKET_MILLIS) }
                counters.buckets().size shouldBe BurnCounters.KEPT_BUCKETS
                counters.buckets().first().startMillis shouldBe 10 * BurnCounters.BUCKET_MILLIS
            }

            it("keep buckets in order and lose no call when the clock steps back") {
                val counters = BurnCounters()
                counters.sample(count(1), 20_000)
                counters.sample(count(2, errors = 1), 5_000)
                counters.buckets() shouldBe listOf(BurnBucket(20_000, calls = 2, errors = 1))
            }
        }
    })
