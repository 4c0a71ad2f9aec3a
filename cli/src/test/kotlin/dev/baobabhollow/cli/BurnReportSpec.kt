package dev.baobabhollow.cli

import dev.baobabhollow.model.FailureDomainId
import dev.baobabhollow.model.MemberId
import dev.baobabhollow.model.MoveId
import dev.baobabhollow.model.MovePhase
import dev.baobabhollow.model.MovePlan
import dev.baobabhollow.model.MovePriority
import dev.baobabhollow.model.MoveState
import dev.baobabhollow.model.NodeId
import dev.baobabhollow.model.PatchResult
import dev.baobabhollow.model.PatchVerdict
import dev.baobabhollow.model.ReleaseId
import dev.baobabhollow.model.RouteId
import dev.baobabhollow.model.ServiceId
import dev.baobabhollow.model.ServiceObjective
import dev.baobabhollow.model.WriterId
import dev.baobabhollow.node.BurnBucket
import dev.baobabhollow.node.BurnDocument
import dev.baobabhollow.node.MemberDocument
import dev.baobabhollow.node.MoveDocument
import dev.baobabhollow.node.MovesDocument
import dev.baobabhollow.node.RouteBurn
import dev.baobabhollow.node.VersionsDocument
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.doubles.plusOrMinus
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.string.shouldNotContain

private const val NOW = 1_000_000L
private val SERVICE = ServiceId("s")

private fun document(
    node: String,
    vararg buckets: BurnBucket,
): BurnDocument {
    val objective = ServiceObjective(availability = 0.99, fastMillis = 100, fastShare = 0.9)
    val route = RouteBurn(MemberId("m"), SERVICE, RouteId("r"), objective, buckets.toList())
    return BurnDocument(NodeId(node), FailureDomainId("a"), NOW, 5_000, listOf(route))
}

private fun versions(vararg verdicts: PatchVerdict) =
    VersionsDocument(
        NodeId("n"),
        1,
        verdicts.toList(),
        emptyList(),
        listOf(
            MemberDocument(MemberId("m"), "M & Sons <x>", MovePriority.COMPLETION),
            MemberDocument(MemberId("o"), "O", MovePriority.TAKE_BACK),
        ),
    )

private fun accepted(
    version: Long,
    atMillis: Long,
) = PatchVerdict(WriterId("w"), version, version, "op", version - 1, atMillis, PatchResult.Accepted(version))

private fun moves(
    service: ServiceId,
    fromMillis: Long,
    untilMillis: Long,
): MovesDocument {
    val plan = MovePlan(service, ReleaseId("1"), ReleaseId("2"), fromMillis, untilMillis, untilMillis)
    val state = MoveState(plan, "op", phase = MovePhase.TAKEN_BACK, stageAtMillis = untilMillis)
    return MovesDocument(NodeId("n"), listOf(MoveDocument(MoveId("mv"), MemberId("m"), null, false, state)))
}

private val NO_MOVES = MovesDocument(NodeId("n"), emptyList())
private val COLLECTOR = BurnCollector(OperatorClient(), shortMillis = 60_000, longMillis = 600_000)

class BurnReportSpec :
    DescribeSpec({
        describe("burn arithmetic") {
            it("adds up the counts of all nodes and compares them with the objective over both windows") {
                val documents =
                    listOf(
                        document("a", BurnBucket(NOW - 300_000, 1_000, 10), BurnBucket(NOW - 30_000, 500, 20, 100)),
                        document("b", BurnBucket(NOW - 30_000, 500, 0, 0)),
                    )
                val route = COLLECTOR.report(documents, versions(), NO_MOVES, NOW).routes.single()
                route.availability.calls shouldBe 2_000
                route.availability.bad shouldBe 30
                route.availability.shortRate!! shouldBe (2.0 plusOrMinus 1e-9)
                route.availability.longRate!! shouldBe (1.5 plusOrMinus 1e-9)
                route.availability.budgetLeft shouldBe (-0.5 plusOrMinus 1e-9)
                route.latency.shortRate!! shouldBe (1.0 plusOrMinus 1e-9)
                route.latency.longRate!! shouldBe (0.5 plusOrMinus 1e-9)
            }

            it("leaves out calls before the long window") {
                val route =
                    COLLECTOR
                        .report(listOf(document("a", BurnBucket(NOW - 700_000, 50, 50))), versions(), NO_MOVES, NOW)
                        .routes
                        .single()
                route.availability.calls shouldBe 0
                route.availability.longRate shouldBe null
                route.availability.budgetLeft shouldBe 1.0
            }
        }

        describe("coincidences") {
            val burning = document("a", BurnBucket(NOW - 30_000, 100, 50))

            it("names moves and versions that overlap a bucket with a burn rate above 1") {
                val document = moves(SERVICE, NOW - 40_000, NOW - 28_000)
                val report = COLLECTOR.report(listOf(burning), versions(accepted(4, NOW - 35_000)), document, NOW)
                report.routes.single().coincides shouldBe listOf("version 4", "move mv (taken_back)")
            }

            it("names neither moves of other services nor what came before or after") {
                val document = moves(ServiceId("other"), NOW - 40_000, NOW - 28_000)
                val old = accepted(3, NOW - 200_000)
                val later = accepted(5, NOW - 20_000)
                COLLECTOR
                    .report(listOf(burning), versions(old, later), document, NOW)
                    .routes
                    .single()
                    .coincides shouldBe
                    emptyList()
            }

            it("names nothing while the burn rate stays at most 1") {
                val calm = document("a", BurnBucket(NOW - 30_000, 1_000, 1))
                val document = moves(SERVICE, NOW - 40_000, NOW - 28_000)
                COLLECTOR
                    .report(listOf(calm), versions(), document, NOW)
                    .routes
                    .single()
                    .coincides shouldBe emptyList()
            }
        }

        describe("the page") {
            val report = COLLECTOR.report(listOf(document("a", BurnBucket(NOW, 10, 1))), versions(), NO_MOVES, NOW)
            val page = burnPage(report)

            it("shows the move priorities of both members") {
                page shouldContain "bad releases taken back"
                page shouldContain "good releases in time"
            }

            it("escapes names and needs no other file") {
                page shouldContain "M &amp; Sons &lt;x&gt;"
                page shouldContain "<svg"
                page shouldNotContain "href="
                page shouldNotContain "src="
            }
        }
    })
