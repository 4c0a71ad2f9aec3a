package dev.baobabhollow.peers

import dev.baobabhollow.membership.FleetView
import dev.baobabhollow.model.ConfigurationState
import dev.baobabhollow.model.Endpoint
import dev.baobabhollow.model.FailureDomainId
import dev.baobabhollow.model.MoveEvidence
import dev.baobabhollow.model.MoveId
import dev.baobabhollow.model.MovePhase
import dev.baobabhollow.model.MovePlan
import dev.baobabhollow.model.MoveStageRecord
import dev.baobabhollow.model.MoveState
import dev.baobabhollow.model.NodeId
import dev.baobabhollow.model.NodeRecord
import dev.baobabhollow.model.NodeStatus
import dev.baobabhollow.model.ReleaseId
import dev.baobabhollow.model.ServiceId
import dev.baobabhollow.model.TargetRecord
import dev.baobabhollow.moves.MoveDecision
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.shouldBe

private val MOVE = MoveId("m-1")
private val TARGET = TargetRecord(ServiceId("s"), ReleaseId("2"), slots = 4, connections = 8)
private val SELF =
    Endpoint("127.0.0.1", 1).let { at ->
        NodeRecord(NodeId("a-1"), FailureDomainId("a"), 1, NodeStatus.ALIVE, at, at, at, TARGET)
    }
private val PLAN = MovePlan(ServiceId("s"), ReleaseId("1"), ReleaseId("2"), 0, 60_000, 60_000)

private class Lead(
    decision: MoveDecision,
) {
    val appended = mutableListOf<MoveStageRecord>()
    var isProven = true
    private val coordinator =
        MoveCoordinator(
            SELF,
            TestFleet.SETTINGS,
            clock = { 0 },
            judgeFor = { _, _ -> StubJudge { if (isProven) decision else MoveDecision.Hold("unproven") } },
            append = { appended.add(it) },
            spread = { },
        )
    private val state =
        ConfigurationState(moves = mapOf(MOVE to MoveState(PLAN, startedBy = "ana", stage = 2, stageAtMillis = 0)))
    private val view = FleetView(SELF.node, mapOf(SELF.node to SELF), 1)

    fun tick(nowMillis: Long) = coordinator.tick(state, view, nowMillis)
}

class PausedLeadSpec :
    DescribeSpec({
        val delay = TestFleet.SETTINGS.leadDelayMillis

        describe("the lead of a move after a pause of several seconds") {
            // Guards against a share that is raised although a substitute has taken the release back meanwhile.
            it("raises no share before it can have heard of later stages, and then does") {
                val lead = Lead(MoveDecision.Advance(300, "fine", MoveEvidence.NONE))
                lead.isProven = false
                lead.tick(100_000)
                lead.isProven = true
                (0 until delay step 100).forEach { lead.tick(105_000 + it) }
                lead.appended.shouldBeEmpty()
                lead.tick(105_000 + delay)
                lead.appended.map { it.phase } shouldBe listOf(MovePhase.RAMPING)
            }

            it("takes the release back at once") {
                val lead = Lead(MoveDecision.TakeBack("errors", MoveEvidence.NONE))
                lead.isProven = false
                lead.tick(100_000)
                lead.isProven = true
                lead.tick(105_000)
                lead.appended.map { it.phase } shouldBe listOf(MovePhase.TAKEN_BACK)
            }
        }
    })
