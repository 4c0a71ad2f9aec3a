package dev.baobabhollow.node

import dev.baobabhollow.model.FailureDomainId
import dev.baobabhollow.model.LatencyHistogram
import dev.baobabhollow.model.MemberConfig
import dev.baobabhollow.model.MemberId
import dev.baobabhollow.model.MeshConfig
import dev.baobabhollow.model.NodeId
import dev.baobabhollow.model.OutcomeSummary
import dev.baobabhollow.model.ReleaseId
import dev.baobabhollow.model.RouteId
import dev.baobabhollow.model.ServiceConfig
import dev.baobabhollow.model.ServiceId
import dev.baobabhollow.model.ServiceObjective
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe

private val MESH =
    MeshConfig(
        members = mapOf(MemberId("m") to MemberConfig("M")),
        services =
            mapOf(
                ServiceId("s") to
                    ServiceConfig(
                        MemberId("m"),
                        setOf(ReleaseId("1")),
                        ReleaseId("1"),
                        ServiceObjective(fastMillis = 100),
                    ),
            ),
    )

private fun summary(
    endsAtMillis: Long,
    calls: Long,
    errors: Long,
    latenciesMicros: List<Long> = emptyList(),
) = OutcomeSummary(
    node = NodeId("n"),
    failureDomain = FailureDomainId("a"),
    service = ServiceId("s"),
    route = RouteId("r"),
    release = ReleaseId("1"),
    endsAtMillis = endsAtMillis,
    calls = calls,
    errors = errors,
    shed = 0,
    latency = LatencyHistogram().apply { latenciesMicros.forEach(::record) }.encode(),
)

class BurnCountersSpec :
    DescribeSpec({
        describe("burn counters") {
            it("add up the calls of one bucket and count those above the objective's latency as slow") {
                val counters = BurnCounters()
                counters.add(summary(10_000, 3, 1, listOf(50_000, 99_000, 150_000)), MESH)
                counters.add(summary(14_999, 2, 0, listOf(1_000, 400_000)), MESH)
                val route = counters.routes(MESH).single()
                route.member shouldBe MemberId("m")
                route.buckets shouldBe listOf(BurnBucket(10_000, calls = 5, errors = 1, slow = 2))
            }

            it("keep a bounded number of buckets, so that memory does not grow with uptime") {
                val counters = BurnCounters()
                repeat(BurnCounters.KEPT_BUCKETS + 10) {
                    counters.add(summary(it * BurnCounters.BUCKET_MILLIS, 1, 0), MESH)
                }
                val buckets = counters.routes(MESH).single().buckets
                buckets.size shouldBe BurnCounters.KEPT_BUCKETS
                buckets.first().startMillis shouldBe 10 * BurnCounters.BUCKET_MILLIS
            }

            it("keep buckets in order and lose no call when the clock steps back") {
                val counters = BurnCounters()
                counters.add(summary(20_000, 1, 0), MESH)
                counters.add(summary(5_000, 1, 1), MESH)
                counters.routes(MESH).single().buckets shouldBe listOf(BurnBucket(20_000, calls = 2, errors = 1))
            }
        }
    })
