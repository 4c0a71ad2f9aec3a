package dev.baobabhollow.moves

import dev.baobabhollow.model.MovePhase
import dev.baobabhollow.model.MovePriority
import dev.baobabhollow.model.MoveState
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldContain
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.longs.shouldBeLessThan
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain

private val SEEDS = 1L..3L

private fun runAll(
    priority: MovePriority,
    callsPerSecond: Double = 400.0,
    behavior: (CallContext) -> Behavior,
): List<SimulatedMove> = SEEDS.map { SimulatedMove(priority, it, callsPerSecond, behavior).run() }

private fun shouldAllBeTakenBack(
    moves: List<SimulatedMove>,
    cause: String,
) = moves.forEach {
    it.state.phase shouldBe MovePhase.TAKEN_BACK
    it.state.reason shouldContain cause
}

private fun shouldAllBeDoneInTime(moves: List<SimulatedMove>) =
    moves.forEach {
        it.state.phase shouldBe MovePhase.DONE
        it.state.fullShareAtMillis!! shouldBeLessThan PLAN.completeByMillis
    }

private fun highestShare(move: SimulatedMove) = move.stages.maxOf { it.sharePermille }

class MoveJudgeSpec :
    DescribeSpec({
        for (priority in MovePriority.entries) {
            describe("a judge with priority $priority") {
                // Guards against a fault that is detected only after the share has risen.
                it("takes back a release that fails from the start, at the unproven share") {
                    val moves = runAll(priority) { if (it.isNew) Behavior(errors = 0.2) else Behavior() }
                    shouldAllBeTakenBack(moves, "errors")
                    moves.forEach { highestShare(it) shouldBeLessThanOrEqual MovePolicy.UNPROVEN_PERMILLE }
                }

                // Guards against earlier good outcomes that hide a later fault for more than 4 s.
                it("takes back a release that begins to fail while the move is watched") {
                    val moves = runAll(priority) { if (it.isNew && it.second > 125) Behavior(0.15) else Behavior() }
                    shouldAllBeTakenBack(moves, "errors")
                    moves.forEach { move -> move.stages.map { it.phase } shouldContain MovePhase.WATCHING }
                    moves.forEach { it.state.stageAtMillis shouldBeLessThan PLAN.startAtMillis + 131_000 }
                }

                // Guards against a comparison that stops when the old release has few calls.
                it("takes back a release that is slow under load only") {
                    val isBad = { context: CallContext -> context.isNew && context.sharePermille >= 400 }
                    val moves = runAll(priority) { if (isBad(it)) Behavior(slowFactor = 2.5) else Behavior() }
                    shouldAllBeTakenBack(moves, "slow")
                }

                // Guards against judging all routes together, which hides a fault on a rarely used one.
                it("takes back a release that fails on a rare route") {
                    val moves = runAll(priority) { if (it.isNew && it.isRare) Behavior(errors = 0.5) else Behavior() }
                    shouldAllBeTakenBack(moves, "route rare")
                }

                // Guards against a judge that considers only errors.
                it("takes back a release that is slow and does not fail") {
                    val moves = runAll(priority) { if (it.isNew) Behavior(slowFactor = 2.0) else Behavior() }
                    shouldAllBeTakenBack(moves, "slow")
                }

                // Guards against a test that misses a fault because no single window shows a large difference.
                it("takes back a release that worsens gradually") {
                    val moves =
                        runAll(
                            priority,
                        ) { if (it.isNew) Behavior(0.002 + it.second.coerceAtLeast(0) / 1_000.0) else Behavior() }
                    shouldAllBeTakenBack(moves, "errors")
                }

                // Guards against comparing only with earlier outcomes, whose limit rises with errors of the old release.
                it("takes back at a low share a release that fails more than an old one that fails often") {
                    val moves = runAll(priority) { if (it.isNew) Behavior(errors = 0.5) else Behavior(errors = 0.2) }
                    shouldAllBeTakenBack(moves, "errors")
                    moves.forEach { highestShare(it) shouldBeLessThanOrEqual 50 }
                }

                it("finishes a good release in time") {
                    shouldAllBeDoneInTime(runAll(priority) { Behavior() })
                }

                // Guards against slow calls during warm-up that count against the release.
                it("finishes a good release on cold targets") {
                    val moves =
                        runAll(priority) {
                            if (it.isNew &&
                                it.callsBefore < 50
                            ) {
                                Behavior(slowFactor = 5.0)
                            } else {
                                Behavior()
                            }
                        }
                    shouldAllBeDoneInTime(moves)
                }

                // Guards against blaming the new release for the failures of a domain, in the ramp or while watching.
                it("finishes a good release while a domain is unhealthy") {
                    for (unhealthyFrom in listOf(10, 60, 115)) {
                        val isUnhealthy =
                            { context: CallContext ->
                                context.domain == 1 && context.second in unhealthyFrom..unhealthyFrom + 20
                            }
                        shouldAllBeDoneInTime(
                            runAll(priority) { if (isUnhealthy(it)) Behavior(0.3, 4.0) else Behavior() },
                        )
                    }
                }

                // Guards against blaming the new release for load shedding and the higher latency that comes with it.
                it("finishes a good release while a target sheds load") {
                    val sheds = { context: CallContext -> context.isNew && context.domain == 2 && context.second > 20 }
                    shouldAllBeDoneInTime(
                        runAll(priority) { if (sheds(it)) Behavior(0.002, 2.5, 0.3) else Behavior() },
                    )
                }
            }
        }

        describe("a judge with too few calls to tell before the deadline") {
            it("takes the release back with priority TAKE_BACK and states the reason") {
                val moves = runAll(MovePriority.TAKE_BACK, callsPerSecond = 2.0) { Behavior() }
                shouldAllBeTakenBack(moves, "too few calls")
                moves.forEach { highestShare(it) shouldBeLessThanOrEqual MovePolicy.UNPROVEN_PERMILLE }
            }

            it("completes the move with priority COMPLETION and states the reason") {
                val moves = runAll(MovePriority.COMPLETION, callsPerSecond = 2.0) { Behavior() }
                shouldAllBeDoneInTime(moves)
                moves.forEach { move ->
                    move.stages.first { it.sharePermille > 10 }.reason shouldContain "too few calls"
                }
            }

            it("completes the move with priority COMPLETION even without any call") {
                shouldAllBeDoneInTime(runAll(MovePriority.COMPLETION, callsPerSecond = 0.0) { Behavior() })
            }
        }

        describe("the ramp of a good release") {
            // Guards against a jump to a high share before a fault could have been detected.
            it("begins at the unproven share and rises step by step") {
                val move = SimulatedMove(MovePriority.TAKE_BACK, 1) { Behavior() }.run()
                val shares = move.stages.filter { it.phase != MovePhase.DONE }.map(MoveState::sharePermille)
                shares shouldBe MovePolicy.of(MovePriority.TAKE_BACK).rampPermille + 1_000
            }

            it("does not begin before the start of the plan") {
                val move = SimulatedMove(MovePriority.COMPLETION, 1) { Behavior() }.run()
                move.stages.size shouldBeGreaterThan 0
                (move.stages.first().stageAtMillis >= PLAN.startAtMillis) shouldBe true
            }
        }
    })
