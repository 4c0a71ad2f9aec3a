package dev.baobabhollow.peers

import dev.baobabhollow.model.Change
import dev.baobabhollow.model.FailureDomainId
import dev.baobabhollow.model.LatencyHistogram
import dev.baobabhollow.model.MemberConfig
import dev.baobabhollow.model.MemberId
import dev.baobabhollow.model.MoveEvidence
import dev.baobabhollow.model.MoveId
import dev.baobabhollow.model.MovePhase
import dev.baobabhollow.model.MovePlan
import dev.baobabhollow.model.MoveStageRecord
import dev.baobabhollow.model.MoveState
import dev.baobabhollow.model.NodeId
import dev.baobabhollow.model.OutcomeSummary
import dev.baobabhollow.model.ReleaseId
import dev.baobabhollow.model.RouteId
import dev.baobabhollow.model.ServiceConfig
import dev.baobabhollow.model.ServiceId
import dev.baobabhollow.moves.MoveDecision
import dev.baobabhollow.moves.MoveJudge
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.shouldBe
import java.util.concurrent.atomic.AtomicBoolean
import java.util.concurrent.atomic.AtomicReference

private val MOVE = MoveId("m-1")
private val SERVICE = ServiceId("vitrina")
private val OLD = ReleaseId("7")
private val NEW = ReleaseId("8")

/** Takes a move back as soon as it has observed an error of the new release. */
private class ErrorJudge : MoveJudge {
    private var errors = 0L

    override fun observe(summary: OutcomeSummary) {
        if (summary.release == NEW) errors += summary.errors
    }

    override fun decide(
        move: MoveState,
        nowMillis: Long,
    ): MoveDecision {
        val evidence = MoveEvidence(errors, errors, 0, 0)
        return if (errors > 0) MoveDecision.TakeBack("errors", evidence) else MoveDecision.Hold("no errors")
    }
}

class MoveLeadSpec :
    DescribeSpec({
        val names = arrayOf("a-1", "a-2", "b-1", "b-2", "c-1", "c-2")

        fun startMove(): Array<Change> {
            val member = MemberId("enredadera")
            val now = System.currentTimeMillis()
            val plan = MovePlan(SERVICE, OLD, NEW, now - 1_000, now + 60_000, now + 120_000)
            return arrayOf(
                Change.PutMember(member, MemberConfig("Enredadera")),
                Change.PutService(SERVICE, ServiceConfig(member, setOf(OLD, NEW), OLD)),
                Change.StartMove(MOVE, plan),
            )
        }

        suspend fun withMove(
            settings: ControlPlaneSettings = TestFleet.SETTINGS,
            judgeFor: (NodeId, MoveId, MoveState) -> MoveJudge,
            check: suspend (TestFleet) -> Unit,
        ) = TestFleet(settings = settings, judgeFor = judgeFor).use { fleet ->
            fleet.reserve(*names)
            fleet.startAll()
            fleet.awaitAll {
                it.plane.isReady && it.plane.view
                    .live()
                    .size == names.size
            }
            fleet.publish(0, *startMove())
            fleet.awaitAll { MOVE in it.plane.state.moves }
            check(fleet)
        }

        fun failedCalls(node: TestNode) =
            OutcomeSummary(
                node = node.record.node,
                failureDomain = node.record.failureDomain,
                service = SERVICE,
                route = RouteId("r"),
                release = NEW,
                endsAtMillis = System.currentTimeMillis(),
                calls = 10,
                errors = 10,
                shed = 0,
                latency = LatencyHistogram().encode(),
            )

        fun leadOf(fleet: TestFleet): TestNode {
            val view =
                fleet.nodes.values
                    .first()
                    .plane.view
            return fleet.nodes.getValue(rankLeads(MOVE, view).first().node)
        }

        fun stageOf(node: TestNode) =
            node.plane.state.moves[MOVE]
                ?.stage

        fun stagesOf(fleet: TestFleet) = fleet.log.records().filter { it.record.body is MoveStageRecord }

        // Guards against outcomes that never reach the lead, and against a take-back that is not final.
        it("takes back a move when any owner node reports errors to the lead") {
            withMove(judgeFor = { _, _, _ -> ErrorJudge() }) { fleet ->
                val owner = fleet.nodes.values.first { it !== leadOf(fleet) }
                owner.plane.observe(failedCalls(owner)) shouldBe true
                fleet.awaitAll {
                    it.plane.state.moves
                        .getValue(MOVE)
                        .phase == MovePhase.TAKEN_BACK
                }
                fleet.awaitAll(5) { it.plane.heldMoves.isEmpty() }
            }
        }

        // Guards against two stages after one decision when two nodes both consider themselves the lead.
        it("converges to one stage when two leads decide differently at once") {
            val isStarted = AtomicBoolean()
            val judges = { node: NodeId, _: MoveId, _: MoveState ->
                val share = 100 + node.value.last().digitToInt()
                StubJudge { move ->
                    val isFirst = isStarted.get() && move.stage == 0
                    if (isFirst) MoveDecision.Advance(share, "up", MoveEvidence.NONE) else MoveDecision.Hold("done")
                }
            }
            withMove(TestFleet.SETTINGS.copy(leadDelayMillis = 0), judges) { fleet ->
                fleet.log.hidesRecords = true
                isStarted.set(true)
                fleet.awaitAll { stagesOf(fleet).size == 2 }
                fleet.log.hidesRecords = false
                fleet.awaitAll { stageOf(it) == 1 }
                val first = stagesOf(fleet).first().record.body as MoveStageRecord
                val last = stagesOf(fleet).last().offset
                fleet.awaitAll { it.plane.state.offset >= last }
                fleet.nodes.values.forEach {
                    val move =
                        it.plane.state.moves
                            .getValue(MOVE)
                    move.stage shouldBe 1
                    move.sharePermille shouldBe first.sharePermille
                }
            }
        }

        // Guards against a bad release that receives calls while the platform log is down, and against a take-back that
        // is lost together with the node that decided on it.
        it("holds a move everywhere while the log is down and takes it back after its lead has died") {
            withMove(judgeFor = { _, _, _ -> ErrorJudge() }) { fleet ->
                val lead = leadOf(fleet)
                fleet.log.isDown = true
                lead.plane.observe(failedCalls(lead))
                fleet.awaitAll(5) { MOVE in it.plane.heldMoves }
                stagesOf(fleet) shouldHaveSize 0
                fleet.stop(lead.record.node.value)
                fleet.log.isDown = false
                fleet.awaitAll {
                    it.plane.state.moves
                        .getValue(MOVE)
                        .phase == MovePhase.TAKEN_BACK
                }
            }
        }

        // Guards against a domain that keeps sending calls to a bad release because the lead is unreachable.
        it("lets an isolated domain take back a move by its own outcomes, and reports that once it is reconnected") {
            withMove(judgeFor = { _, _, _ -> ErrorJudge() }) { fleet ->
                val lead = leadOf(fleet).record.failureDomain
                val substitute = rankLeads(MOVE, leadOf(fleet).plane.view).last().failureDomain
                val cut = listOf("a", "b", "c").map(::FailureDomainId).first { it != lead && it != substitute }
                fleet.cutFromLog += cut
                fleet.cutFromPeers += cut
                val owner = fleet.nodes.values.first { it.record.failureDomain == cut }
                val deadline = System.currentTimeMillis() + 10_000
                fleet.awaitAll(10) {
                    if (System.currentTimeMillis() < deadline) owner.plane.observe(failedCalls(owner))
                    (MOVE in it.plane.heldMoves) == (it.record.failureDomain == cut)
                }
                stagesOf(fleet) shouldHaveSize 0
                fleet.cutFromPeers.clear()
                fleet.awaitAll {
                    it.plane.state.moves
                        .getValue(MOVE)
                        .phase == MovePhase.TAKEN_BACK
                }
            }
        }

        // Guards against a retry with a new sequence, which no reader can recognize as a duplicate.
        it("retries with the same sequence after a lost response") {
            val decision = AtomicReference<MoveDecision>(MoveDecision.Hold("wait"))
            val judges = { _: NodeId, _: MoveId, _: MoveState ->
                StubJudge { move -> if (move.stage == 0) decision.get() else MoveDecision.Hold("done") }
            }
            withMove(judgeFor = judges) { fleet ->
                fleet.log.hidesRecords = true
                fleet.log.lostResponses.set(1)
                decision.set(MoveDecision.Advance(10, "up", MoveEvidence.NONE))
                fleet.awaitAll { stagesOf(fleet).size >= 2 }
                fleet.log.hidesRecords = false
                fleet.awaitAll { stageOf(it) == 1 }
                val lead = leadOf(fleet).record.node.value
                val ofLead = stagesOf(fleet).map { it.record }.filter { it.writer.value.startsWith("$lead/") }
                ofLead.size shouldBeGreaterThan 1
                ofLead.map { it.sequence }.distinct() shouldHaveSize 1
            }
        }
    })
