package dev.baobabhollow.peers

import dev.baobabhollow.membership.FleetView
import dev.baobabhollow.model.ConfigurationState
import dev.baobabhollow.model.Endpoint
import dev.baobabhollow.model.FailureDomainId
import dev.baobabhollow.model.LatencyHistogram
import dev.baobabhollow.model.LogRecord
import dev.baobabhollow.model.MoveId
import dev.baobabhollow.model.MovePhase
import dev.baobabhollow.model.MovePlan
import dev.baobabhollow.model.MoveStageRecord
import dev.baobabhollow.model.MoveState
import dev.baobabhollow.model.NodeId
import dev.baobabhollow.model.NodeRecord
import dev.baobabhollow.model.NodeStatus
import dev.baobabhollow.model.OTHER_RELEASES
import dev.baobabhollow.model.OutcomeSummary
import dev.baobabhollow.model.ReleaseId
import dev.baobabhollow.model.RouteId
import dev.baobabhollow.model.ServiceId
import dev.baobabhollow.model.TargetRecord
import dev.baobabhollow.model.TargetStatus
import dev.baobabhollow.model.WriterId
import dev.baobabhollow.moves.shortMoveJudge
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe

private val MOVE = MoveId("s/1")
private val SERVICE = ServiceId("s")
private val OLD = ReleaseId("v1")
private val NEW = ReleaseId("v2")
private const val SPAN_MILLIS = 12_000L
private const val TICK_MILLIS = 50L

private fun record(
    name: String,
    release: ReleaseId,
    domain: String,
): NodeRecord {
    val at = Endpoint("127.0.0.1", 1)
    val target = TargetRecord(SERVICE, release, slots = 12, connections = 16)
    return NodeRecord(NodeId(name), FailureDomainId(domain), 1, NodeStatus.ALIVE, at, at, at, target)
}

/** Plays an ordered move of a service with two old targets at its lead, in virtual time. */
private class OrderedMove {
    private val self = record("old-a", OLD, "a")
    private var nowMillis = 0L
    private var state =
        ConfigurationState(
            moves = mapOf(MOVE to MoveState(MovePlan(SERVICE, OTHER_RELEASES, NEW, 0, SPAN_MILLIS, SPAN_MILLIS), "op")),
        )
    private var nodes = listOf(self, record("old-b", OLD, "b")).associateBy { it.node }
    private var waiting: MoveStageRecord? = null

    /** True while the log stores no final stage. */
    var isLogDown = false
    private val coordinator =
        MoveCoordinator(
            self,
            // The other node may be the first lead, which this one replaces at once.
            TestFleet.SETTINGS.copy(leadDelayMillis = 0),
            clock = { nowMillis },
            judgeFor = { _, _ -> shortMoveJudge() },
            append = ::append,
            spread = { },
        )

    val move: MoveState get() = state.moves.getValue(MOVE)

    fun add(vararg records: NodeRecord) = records.forEach { nodes += it.node to it }

    fun change(
        node: NodeRecord,
        change: (NodeRecord) -> NodeRecord,
    ) = add(change(nodes.getValue(node.node)))

    fun evacuate(domain: String) {
        state = state.copy(evacuatedDomains = setOf(FailureDomainId(domain)))
    }

    fun succeed(release: ReleaseId) {
        val at = record("n", release, "a")
        val latency = LatencyHistogram().encode()
        val route = RouteId("r")
        coordinator.observe(
            OutcomeSummary(at.node, at.failureDomain, SERVICE, route, release, nowMillis, 1, 0, 0, latency),
            state,
        )
    }

    fun runUntil(
        untilMillis: Long,
        eachTick: () -> Unit = { },
    ): OrderedMove {
        while (nowMillis < untilMillis) {
            nowMillis += TICK_MILLIS
            eachTick()
            coordinator.tick(state, FleetView(self.node, nodes, nowMillis), nowMillis)
            if (!isLogDown) storeWaiting()
        }
        return this
    }

    private fun append(record: MoveStageRecord): Boolean {
        if (record.phase.isFinal) waiting = record else store(record)
        return true
    }

    private fun storeWaiting() {
        val record = waiting ?: return
        waiting = null
        if (!coordinator.isObsolete(record, state)) store(record)
        coordinator.handleAppendResult(
            LogRecord(WriterId("w"), 1, record),
            null,
        )
    }

    private fun store(record: MoveStageRecord) {
        val next = move.copy(stage = record.follows + 1, phase = record.phase, sharePermille = record.sharePermille)
        state = state.copy(moves = mapOf(MOVE to next))
    }
}

class LostReleaseSpec :
    DescribeSpec({
        val new = record("new-a", NEW, "a")
        val isDown = { node: NodeRecord -> node.copy(target = node.target?.copy(status = TargetStatus.DOWN)) }
        val isDead = { node: NodeRecord -> node.copy(status = NodeStatus.DEAD) }
        val isSuspect = { node: NodeRecord -> node.copy(status = NodeStatus.SUSPECT) }
        val isGone = { node: NodeRecord -> node.copy(target = null) }
        val losses =
            mapOf(
                "its process has ended" to isDown,
                "its VM is dead" to isDead,
                "its VM does not respond" to isSuspect,
                "its node was restarted" to isGone,
            )

        // Guards against a move that is completed without any target: the platform then stops the old targets, and no
        // call is served any more. No call sees the loss, so only the fleet view shows it.
        describe("a release whose only target is lost while no call reaches it") {
            it("is taken back before its deadline if the target never announced itself") {
                OrderedMove().runUntil(SPAN_MILLIS).move.phase shouldBe MovePhase.TAKEN_BACK
            }

            losses.forEach { (loss, change) ->
                // Before its first call, in the trial, at the middle share, at the full share, just before the end.
                listOf(0L, 3_000L, 6_300L, 7_200L, 9_500L).forEach { lostAtMillis ->
                    it("is taken back if it is lost at $lostAtMillis ms: $loss") {
                        val move = OrderedMove()
                        move.add(new)
                        move.runUntil(lostAtMillis)
                        move.change(new, change)
                        move.runUntil(SPAN_MILLIS + 5_000).move.phase shouldBe MovePhase.TAKEN_BACK
                    }
                }
            }

            it("is taken back if the domain of its targets is evacuated") {
                val move = OrderedMove()
                move.add(new)
                move.evacuate("a")
                move.runUntil(SPAN_MILLIS).move.phase shouldBe MovePhase.TAKEN_BACK
            }
        }

        // Guards against a final stage that was decided in time and is stored after the release has failed.
        describe("a move that was done while the log was down") {
            it("is not stored as done if the new release is lost meanwhile") {
                val move = OrderedMove()
                move.add(new)
                move.isLogDown = true
                move.runUntil(11_000) { move.succeed(NEW) }
                move.change(new, isDown)
                move.runUntil(14_000)
                move.isLogDown = false
                move.runUntil(20_000).move.phase shouldBe MovePhase.TAKEN_BACK
            }

            it("is stored as done if the new release still serves") {
                val move = OrderedMove()
                move.add(new)
                move.isLogDown = true
                move.runUntil(14_000) { move.succeed(NEW) }
                move.isLogDown = false
                move.runUntil(14_100).move.phase shouldBe MovePhase.DONE
            }
        }

        describe("a release whose targets serve") {
            it("is done before its deadline") {
                val move = OrderedMove()
                // Nodes of an earlier move to the same release.
                repeat(5) { move.add(isDead(record("dead-$it", NEW, "a"))) }
                move.add(new)
                move.runUntil(SPAN_MILLIS * 4 / 5 + 200) { move.succeed(NEW) }.move.phase shouldBe MovePhase.DONE
            }

            it("is done before its deadline without any calls") {
                val move = OrderedMove()
                move.add(new)
                move.runUntil(SPAN_MILLIS).move.phase shouldBe MovePhase.DONE
            }
        }
    })
