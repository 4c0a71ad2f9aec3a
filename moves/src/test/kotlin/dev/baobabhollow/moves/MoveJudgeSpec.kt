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
    weather: (Spot) -> Weather,
): List<SimulatedMove> = SEEDS.map { SimulatedMove(priority, it, callsPerSecond, weather).run() }

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
                // Guards against a fault that is seen only after the share has risen.
                it("takes back a release that fails from the start, at the unproven share") {
                    val moves = runAll(priority) { if (it.isNew) Weather(errors = 0.2) else Weather() }
                    shouldAllBeTakenBack(moves, "errors")
                    moves.forEach { highestShare(it) shouldBeLessThanOrEqual MovePolicy.UNPROVEN_PERMILLE }
                }

                // Guards against good outcomes early on that outweigh a later fault for more than 4 s.
                it("takes back a release that begins to fail while the move is watched") {
                    val moves = runAll(priority) { if (it.isNew && it.second > 125) Weather(0.15) else Weather() }
                    shouldAllBeTakenBack(moves, "errors")
                    moves.forEach { move -> move.stages.map { it.phase } shouldContain MovePhase.WATCHING }
                    moves.forEach { it.state.stageAtMillis shouldBeLessThan PLAN.startAtMillis + 131_000 }
                }

                // Guards against a comparison that stops when the old release has few calls.
                it("takes back a release that is slow under load only") {
                    val isBad = { spot: Spot -> spot.isNew && spot.sharePermille >= 400 }
                    val moves = runAll(priority) { if (isBad(it)) Weather(slowFactor = 2.5) else Weather() }
                    shouldAllBeTakenBack(moves, "slow")
                }

                // Guards against routes that are judged together, which hides a fault on a rare one.
                it("takes back a release that fails on a rare route") {
                    val moves = runAll(priority) { if (it.isNew && it.isRare) Weather(errors = 0.5) else Weather() }
                    shouldAllBeTakenBack(moves, "route rare")
                }

                // Guards against a judge that looks at errors alone.
                it("takes back a release that is slow and does not fail") {
                    val moves = runAll(priority) { if (it.isNew) Weather(slowFactor = 2.0) else Weather() }
                    shouldAllBeTakenBack(moves, "slow")
                }

                // Guards against a fault that begins too small to be noticed at any one time.
                it("takes back a release that worsens gradually") {
                    val moves =
                        runAll(
                            priority,
                        ) { if (it.isNew) Weather(0.002 + it.second.coerceAtLeast(0) / 1_000.0) else Weather() }
                    shouldAllBeTakenBack(moves, "errors")
                }

                // Guards against a comparison with earlier outcomes alone, whose limit an often failing service widens.
                it("takes back at a low share a release that fails more than an old one that fails often") {
                    val moves = runAll(priority) { if (it.isNew) Weather(errors = 0.5) else Weather(errors = 0.2) }
                    shouldAllBeTakenBack(moves, "errors")
                    moves.forEach { highestShare(it) shouldBeLessThanOrEqual 50 }
                }

                it("finishes a good release in time") {
                    shouldAllBeDoneInTime(runAll(priority) { Weather() })
                }

                // Guards against warm-up taken for slowness.
                it("finishes a good release on cold targets") {
                    val moves =
                        runAll(priority) {
                            if (it.isNew &&
                                it.callsBefore < 50
                            ) {
                                Weather(slowFactor = 5.0)
                            } else {
                                Weather()
                            }
                        }
                    shouldAllBeDoneInTime(moves)
                }

                // Guards against the failures of a domain, in the ramp and while watching, blamed on the new release.
                it("finishes a good release while a domain is ill") {
                    for (illFrom in listOf(10, 60, 115)) {
                        val isIll = { spot: Spot -> spot.domain == 1 && spot.second in illFrom..illFrom + 20 }
                        shouldAllBeDoneInTime(runAll(priority) { if (isIll(it)) Weather(0.3, 4.0) else Weather() })
                    }
                }

                // Guards against shed load, and the latency that goes with it, blamed on the new release.
                it("finishes a good release while a target sheds load") {
                    val sheds = { spot: Spot -> spot.isNew && spot.domain == 2 && spot.second > 20 }
                    shouldAllBeDoneInTime(runAll(priority) { if (sheds(it)) Weather(0.002, 2.5, 0.3) else Weather() })
                }
            }
        }

        describe("a judge with too few calls to tell before the deadline") {
            it("takes the release back if take-backs weigh most, and says why") {
                val moves = runAll(MovePriority.TAKE_BACK, callsPerSecond = 2.0) { Weather() }
                shouldAllBeTakenBack(moves, "too few calls")
                moves.forEach { highestShare(it) shouldBeLessThanOrEqual MovePolicy.UNPROVEN_PERMILLE }
            }

            it("completes the move if completion weighs most, and says why") {
                val moves = runAll(MovePriority.COMPLETION, callsPerSecond = 2.0) { Weather() }
                shouldAllBeDoneInTime(moves)
                moves.forEach { move ->
                    move.stages.first { it.sharePermille > 10 }.reason shouldContain "too few calls"
                }
            }

            it("completes the move without any call if completion weighs most") {
                shouldAllBeDoneInTime(runAll(MovePriority.COMPLETION, callsPerSecond = 0.0) { Weather() })
            }
        }

        describe("the ramp of a good release") {
            // Guards against a jump to a high share before a fault could have been seen.
            it("begins at the unproven share and rises step by step") {
                val move = SimulatedMove(MovePriority.TAKE_BACK, 1) { Weather() }.run()
                val shares = move.stages.filter { it.phase != MovePhase.DONE }.map(MoveState::sharePermille)
                shares shouldBe MovePolicy.of(MovePriority.TAKE_BACK).rampPermille + 1_000
            }

            it("does not begin before the start of the plan") {
                val move = SimulatedMove(MovePriority.COMPLETION, 1) { Weather() }.run()
                move.stages.size shouldBeGreaterThan 0
                (move.stages.first().stageAtMillis >= PLAN.startAtMillis) shouldBe true
            }
        }
    })
