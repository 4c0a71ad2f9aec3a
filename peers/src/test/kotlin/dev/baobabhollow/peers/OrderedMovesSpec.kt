package dev.baobabhollow.peers

import dev.baobabhollow.model.ConfigurationState
import dev.baobabhollow.model.MoveEvidence
import dev.baobabhollow.model.MoveId
import dev.baobabhollow.model.MoveOrder
import dev.baobabhollow.model.MovePhase
import dev.baobabhollow.model.MoveStageRecord
import dev.baobabhollow.model.OrderedStage
import dev.baobabhollow.model.ReleaseId
import dev.baobabhollow.model.ServiceId
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeSameInstanceAs

private val SERVICE = ServiceId("s")
private val RELEASE = ReleaseId("v2")
private val MOVE = MoveId("s/4")

/** Move of an order that was written at the same offset in the next era of the log. */
private val LATER_MOVE = MoveId("s/1.4")

private fun stage(
    number: Int,
    phase: MovePhase,
    share: Int = 70,
    move: MoveId = MOVE,
) = OrderedStage(move, SERVICE, RELEASE, number, phase, share, startedAtMillis = 5, completeByMillis = 105)

private fun record(
    follows: Int,
    phase: MovePhase,
    share: Int = 70,
) = MoveStageRecord(MOVE, follows, phase, share, "test", MoveEvidence.NONE)

class OrderedMovesSpec :
    DescribeSpec({
        val state = ConfigurationState(orders = mapOf(SERVICE to MoveOrder(MOVE, RELEASE, 100)))

        fun OrderedMoves.plan(of: ConfigurationState = state) = mergeInto(of).moves.getValue(MOVE).plan

        fun laterState(release: ReleaseId) =
            ConfigurationState(era = 1, orders = mapOf(SERVICE to MoveOrder(LATER_MOVE, release, 100)))

        describe("an ordered move") {
            it("starts with a share of zero when its order is read") {
                val moves = OrderedMoves { 5 }
                val move = moves.mergeInto(state).moves.getValue(MOVE)
                move.sharePermille shouldBe 0
                move.plan.to shouldBe RELEASE
                move.plan.completeByMillis shouldBe 105
                moves.mergeInto(state) shouldBeSameInstanceAs moves.mergeInto(state)
            }

            it("applies stages only in sequence") {
                val moves = OrderedMoves { 5 }
                moves.mergeInto(state)
                moves.apply(record(1, MovePhase.RAMPING)) shouldBe null
                moves.apply(record(0, MovePhase.RAMPING))?.stage shouldBe 1
                moves.apply(record(0, MovePhase.WATCHING, 1_000)) shouldBe null
                moves
                    .mergeInto(state)
                    .moves
                    .getValue(MOVE)
                    .sharePermille shouldBe 70
            }

            // Guards against a substitute lead that ends a move seconds early or late because clocks differ.
            it("keeps its schedule when a node with another clock sends a stage") {
                listOf(-7_000L, 0L, 7_000L).forEach { difference ->
                    var now = 1_000_000L
                    val moves = OrderedMoves { now }
                    moves.mergeInto(state)
                    now += 40
                    val start = 1_000_000L + difference
                    val sent = stage(1, MovePhase.RAMPING).copy(startedAtMillis = start, completeByMillis = start + 100)
                    moves.merge(sent, now + difference) shouldBe true
                    val plan = moves.plan()
                    plan.startAtMillis shouldBe 1_000_000
                    plan.completeByMillis shouldBe 1_000_100
                }
            }

            it("takes over the schedule of a node that learned of the order earlier") {
                var now = 1_000_000L
                val moves = OrderedMoves { now }
                moves.mergeInto(state)
                val sent = stage(1, MovePhase.RAMPING).copy(startedAtMillis = 499_970, completeByMillis = 500_070)
                now += 10
                moves.merge(sent, 500_010) shouldBe true
                moves.plan().completeByMillis shouldBe 1_000_070
            }

            // Guards against a move that seems not to have started after a restart with a clock that was set back.
            it("has started in the past when it is read from the log") {
                val moves = OrderedMoves { 1_000_000 }
                moves.merge(stage(1, MovePhase.RAMPING).copy(startedAtMillis = 1_005_000, completeByMillis = 1_005_100))
                val plan = moves.plan()
                plan.startAtMillis shouldBe 1_000_000
                plan.completeByMillis shouldBe 1_000_100
            }

            // Guards against nodes that end in different stages because messages arrive in different orders.
            it("ends in the same stage whatever the order of arrival") {
                val news =
                    listOf(
                        stage(1, MovePhase.RAMPING),
                        stage(2, MovePhase.RAMPING, 300),
                        stage(3, MovePhase.WATCHING, 1_000),
                        stage(2, MovePhase.TAKEN_BACK, 0),
                    )
                news.indices.forEach { first ->
                    val moves = OrderedMoves { 5 }
                    (news.drop(first) + news.take(first)).forEach(moves::merge)
                    moves
                        .mergeInto(state)
                        .moves
                        .getValue(MOVE)
                        .phase shouldBe MovePhase.TAKEN_BACK
                }
            }

            // Guards against two final decisions on one move.
            it("keeps its final stage") {
                val moves = OrderedMoves { 5 }
                moves.merge(stage(4, MovePhase.DONE, 1_000)) shouldBe true
                moves.merge(stage(9, MovePhase.TAKEN_BACK, 0)) shouldBe false
                moves.apply(record(4, MovePhase.TAKEN_BACK, 0)) shouldBe null
                moves
                    .mergeInto(state)
                    .moves
                    .getValue(MOVE)
                    .phase shouldBe MovePhase.DONE
            }

            // Guards against stages of a replaced order that affect the current one.
            it("ends with a newer order for its service") {
                val moves = OrderedMoves { 5 }
                moves.mergeInto(state)
                val next = MoveId("s/9")
                val later = ConfigurationState(orders = mapOf(SERVICE to MoveOrder(next, RELEASE, 100)))
                moves.mergeInto(later).moves.keys shouldBe setOf(next)
                moves.merge(stage(4, MovePhase.DONE))
                moves
                    .mergeInto(later)
                    .moves
                    .getValue(next)
                    .phase shouldBe MovePhase.RAMPING
            }

            // Guards against a release that gets traffic again because the log has lost its take-back.
            it("keeps its identifier and its final stage when its order is written again in a later era") {
                val moves = OrderedMoves { 5 }
                moves.merge(stage(4, MovePhase.TAKEN_BACK, 0))
                val merged = moves.mergeInto(laterState(RELEASE))
                merged.moves.keys shouldBe setOf(MOVE)
                // Routing looks the move of a service up by its order.
                merged.orders.getValue(SERVICE).move shouldBe MOVE
                moves.plan(laterState(RELEASE)).to shouldBe RELEASE
                moves.merge(stage(9, MovePhase.DONE, 1_000, LATER_MOVE)) shouldBe false
                moves
                    .mergeInto(laterState(RELEASE))
                    .moves
                    .getValue(MOVE)
                    .phase shouldBe MovePhase.TAKEN_BACK
            }

            // Guards against a restarted node that has read the later order before it hears of the move.
            it("takes over the stage that was reached under the identifier of the later order") {
                val moves = OrderedMoves { 5 }
                moves.merge(stage(1, MovePhase.RAMPING, 30, LATER_MOVE))
                moves.mergeInto(laterState(RELEASE)).moves.keys shouldBe setOf(LATER_MOVE)
                moves.merge(stage(2, MovePhase.TAKEN_BACK, 0, LATER_MOVE))
                moves.merge(stage(3, MovePhase.RAMPING, 300))
                val merged = moves.mergeInto(laterState(RELEASE)).moves
                merged.keys shouldBe setOf(MOVE)
                merged.getValue(MOVE).phase shouldBe MovePhase.TAKEN_BACK
            }

            // Guards against an order that is never carried out because an earlier one had its offset.
            it("is another one if the order of the later era is for another release") {
                val moves = OrderedMoves { 5 }
                moves.merge(stage(4, MovePhase.DONE, 1_000))
                val merged = moves.mergeInto(laterState(ReleaseId("v3"))).moves
                merged.keys shouldBe setOf(LATER_MOVE)
                merged.getValue(LATER_MOVE).phase shouldBe MovePhase.RAMPING
            }

            // Guards against a return to a release that is taken for the move to it before the present one.
            it("is another one if another release was ordered in between") {
                val moves = OrderedMoves { 5 }
                moves.merge(stage(4, MovePhase.DONE, 1_000))
                moves.merge(stage(4, MovePhase.DONE, 1_000, MoveId("s/5")).copy(to = ReleaseId("v3")))
                moves.mergeInto(laterState(RELEASE)).moves.keys shouldBe setOf(LATER_MOVE)
            }

            // Guards against an acknowledged status that stays lost.
            it("has lost a stage if the log holds none or only an earlier one") {
                val moves = OrderedMoves { 5 }
                moves.mergeInto(state)
                moves.lostStages(emptyList()) shouldBe emptyList()
                val final = stage(4, MovePhase.TAKEN_BACK, 0)
                moves.merge(final)
                moves.mergeInto(state)
                moves.lostStages(emptyList()) shouldBe listOf(final)
                moves.lostStages(listOf(stage(1, MovePhase.RAMPING))) shouldBe listOf(final)
                moves.lostStages(listOf(final)) shouldBe emptyList()
            }

            it("repeats only stages that were decided") {
                val moves = OrderedMoves { 5 }
                moves.mergeInto(state)
                moves.stagesToRepeat() shouldBe emptyList()
                moves.merge(stage(1, MovePhase.RAMPING))
                moves.stagesToRepeat() shouldBe listOf(stage(1, MovePhase.RAMPING))
            }
        }
    })
