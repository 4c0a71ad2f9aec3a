package dev.baobabhollow.moves

import dev.baobabhollow.model.FailureDomainId
import dev.baobabhollow.model.MoveId
import dev.baobabhollow.model.MovePhase
import dev.baobabhollow.model.MovePriority
import dev.baobabhollow.model.MoveState
import dev.baobabhollow.model.NodeId
import dev.baobabhollow.model.OutcomeSummary
import dev.baobabhollow.model.ReleaseId
import dev.baobabhollow.model.RouteId
import dev.baobabhollow.model.ServiceId
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import java.util.Random

private val FAILING = { spot: Spot -> if (spot.isNew) Weather(errors = 0.03) else Weather() }

private fun failing(seed: Long) = SimulatedMove(MovePriority.TAKE_BACK, seed, weather = FAILING)

class MoveJudgeDeliverySpec :
    DescribeSpec({
        describe("summaries that arrive") {
            // Guards against repeats that count as further evidence, or that change which calls are compared.
            it("twice lead to the same stages as once") {
                val once = failing(1).run().stages
                val twice = failing(1).apply { delivery = { it + it } }.run().stages
                twice shouldBe once
            }

            // Guards against repeats long after the first arrival.
            it("again 5 s later lead to the same stages as once") {
                val late = ArrayDeque<List<OutcomeSummary>>()
                val move =
                    failing(2).apply {
                        delivery = {
                            late.addLast(it)
                            it + if (late.size > 5) late.removeFirst() else emptyList()
                        }
                    }
                move.run().stages shouldBe failing(2).run().stages
            }

            // Guards against results that depend on the order in which nodes are heard.
            it("in another order lead to the same stages") {
                val order = Random(3)
                val shuffled = failing(3).apply { delivery = { it.shuffled(order) } }.run().stages
                shuffled.map { it.phase to it.sharePermille } shouldBe
                    failing(3).run().stages.map { it.phase to it.sharePermille }
            }

            // Guards against late summaries that find no counterpart and are lost.
            it("up to 4 s late still lead to a take-back, and to none of a good release") {
                for (isBad in listOf(true, false)) {
                    val late = ArrayDeque<OutcomeSummary>()
                    val random = Random(4)
                    val weather = if (isBad) FAILING else { _: Spot -> Weather() }
                    val move = SimulatedMove(MovePriority.TAKE_BACK, 4, weather = weather)
                    move.delivery = { summaries ->
                        late += summaries.shuffled(random)
                        List(late.size - minOf(late.size, 40)) { late.removeFirst() }
                    }
                    move.run().state.phase shouldBe if (isBad) MovePhase.TAKEN_BACK else MovePhase.DONE
                }
            }
        }

        describe("a summary with a broken histogram") {
            // Guards against bytes from the network that end the control thread.
            it("does not throw and still counts its errors") {
                val move = failing(5)
                val garbage = listOf(ByteArray(0), byteArrayOf(1, 2, 3), ByteArray(30) { -1 })
                move.delivery = { list -> list.map { it.copy(latency = garbage[(it.calls % 3).toInt()]) } }
                move.run().state.phase shouldBe MovePhase.TAKEN_BACK
            }

            it("does not throw when its numbers contradict each other") {
                val judge = moveJudge(MoveId("m"), MovePolicy.of(MovePriority.TAKE_BACK))
                val state = MoveState(PLAN, "operator")
                judge.decide(state, PLAN.startAtMillis)
                listOf(-1L to 0L, 5L to 6L, 5L to -1L, Long.MAX_VALUE to Long.MAX_VALUE).forEach { (calls, errors) ->
                    judge.observe(summary(calls, errors, Long.MAX_VALUE - 1))
                    judge.observe(summary(calls, errors, PLAN.startAtMillis))
                }
                judge.decide(state, PLAN.startAtMillis + 5_000).shouldBeInstanceOf<MoveDecision.Advance>()
            }
        }

        describe("two moves at once") {
            // Guards against outcomes of another service that count for this move.
            it("are judged apart") {
                val good = SimulatedMove(MovePriority.TAKE_BACK, 6) { Weather() }
                val others = ArrayList<OutcomeSummary>()
                SimulatedMove(MovePriority.TAKE_BACK, 7, weather = FAILING).apply {
                    delivery = { list -> list.also { others += it } }
                    run()
                }
                good.delivery = { it + others.map { other -> other.copy(service = ServiceId("pedidos")) } }
                good.run().state.phase shouldBe MovePhase.DONE
            }
        }

        describe("a judge that takes over") {
            // Guards against a new lead that condemns or forgets a release because it lacks the earlier outcomes.
            for (second in listOf(30, 105, 118, 130)) {
                it("$second s after the start finishes a good release") {
                    val move = SimulatedMove(MovePriority.TAKE_BACK, 8) { Weather() }
                    move.run { if (it == second) move.judge = move.newJudge() }.state.phase shouldBe MovePhase.DONE
                }

                it("$second s after the start takes back a release that then begins to fail") {
                    val move =
                        SimulatedMove(MovePriority.COMPLETION, 9) {
                            if (it.isNew && it.second > second + 2) Weather(errors = 0.4) else Weather()
                        }
                    move.run { if (it == second) move.judge = move.newJudge() }.state.phase shouldBe
                        MovePhase.TAKEN_BACK
                }
            }

            // Guards against a new lead that takes a good release back because it has seen few calls near the deadline.
            it("near the deadline does not give up for lack of calls") {
                val move = SimulatedMove(MovePriority.TAKE_BACK, 11, callsPerSecond = 100.0) { Weather() }
                move.run { if (it == 85) move.judge = move.newJudge() }.state.phase shouldBe MovePhase.DONE
            }

            // Guards against a node that is cut off and blames an ill domain, which it alone sees, on the new release.
            it("and sees the new release in one ill domain only does not take it back") {
                val move =
                    SimulatedMove(MovePriority.TAKE_BACK, 12) {
                        if (it.domain ==
                            1
                        ) {
                            Weather(errors = 0.2)
                        } else {
                            Weather()
                        }
                    }
                val cutOff = move.newJudge()
                var taken = 0
                move.delivery = { list ->
                    list.filter { it.node == NodeId("1-true") }.forEach(cutOff::observe)
                    list
                }
                move.run {
                    if (cutOff.decide(
                            move.state,
                            PLAN.startAtMillis + it * 1_000L,
                        ) is MoveDecision.TakeBack
                    ) {
                        taken++
                    }
                }
                taken shouldBe 0
            }

            // Guards against good outcomes after a take-back that undo it before the log has recorded it.
            it("repeats a take-back until the move is over") {
                val move = failing(10).run()
                val before = move.stages[move.stages.size - 2]
                val now = move.state.stageAtMillis + 5_000
                repeat(50) {
                    val endsAtMillis = now - 3_000 + it
                    move.judge.observe(summary(calls = 1_000, errors = 0, endsAtMillis, "main"))
                    move.judge.observe(summary(calls = 1_000, errors = 50, endsAtMillis, "main", PLAN.from))
                }
                move.judge.decide(before, now).shouldBeInstanceOf<MoveDecision.TakeBack>()
                move.judge.decide(move.state, now).shouldBeInstanceOf<MoveDecision.Hold>()
            }
        }
    })

private fun summary(
    calls: Long,
    errors: Long,
    endsAtMillis: Long,
    route: String = "main",
    release: ReleaseId = PLAN.to,
) = OutcomeSummary(
    NodeId("n"),
    FailureDomainId("d"),
    PLAN.service,
    RouteId(route),
    release,
    endsAtMillis,
    calls,
    errors,
    0,
    ByteArray(0),
)
