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

private val ALWAYS_FAILING = { context: CallContext -> if (context.isNew) Behavior(errors = 0.03) else Behavior() }

private fun failing(seed: Long) = SimulatedMove(MovePriority.TAKE_BACK, seed, behavior = ALWAYS_FAILING)

class MoveJudgeDeliverySpec :
    DescribeSpec({
        describe("summaries that arrive") {
            // Guards against repeated summaries that count as further evidence or change which calls are compared.
            it("twice lead to the same stages as once") {
                val once = failing(1).run().stages
                val twice = failing(1).apply { delivery = { it + it } }.run().stages
                twice shouldBe once
            }

            // Guards against repeated summaries that are recognized only shortly after the first arrival.
            it("again 5 s later lead to the same stages as once") {
                val delayed = ArrayDeque<List<OutcomeSummary>>()
                val move =
                    failing(2).apply {
                        delivery = {
                            delayed.addLast(it)
                            it + if (delayed.size > 5) delayed.removeFirst() else emptyList()
                        }
                    }
                move.run().stages shouldBe failing(2).run().stages
            }

            // Guards against decisions that depend on the order in which the summaries of the nodes arrive.
            it("in another order lead to the same stages") {
                val order = Random(3)
                val shuffled = failing(3).apply { delivery = { it.shuffled(order) } }.run().stages
                shuffled.map { it.phase to it.sharePermille } shouldBe
                    failing(3).run().stages.map { it.phase to it.sharePermille }
            }

            // Guards against late summaries that are lost because the other release's window is already gone.
            it("up to 4 s late still lead to a take-back of a bad release and not of a good one") {
                for (isBad in listOf(true, false)) {
                    val delayed = ArrayDeque<OutcomeSummary>()
                    val random = Random(4)
                    val behavior = if (isBad) ALWAYS_FAILING else { _: CallContext -> Behavior() }
                    val move = SimulatedMove(MovePriority.TAKE_BACK, 4, behavior = behavior)
                    move.delivery = { summaries ->
                        delayed += summaries.shuffled(random)
                        List(delayed.size - minOf(delayed.size, 40)) { delayed.removeFirst() }
                    }
                    move.run().state.phase shouldBe if (isBad) MovePhase.TAKEN_BACK else MovePhase.DONE
                }
            }
        }

        describe("a summary with a broken histogram") {
            // Guards against malformed bytes from the network that terminate the control thread.
            it("does not throw and still counts its errors") {
                val move = failing(5)
                val malformed = listOf(ByteArray(0), byteArrayOf(1, 2, 3), ByteArray(30) { -1 })
                move.delivery = { list -> list.map { it.copy(latency = malformed[(it.calls % 3).toInt()]) } }
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
            it("are judged independently") {
                val good = SimulatedMove(MovePriority.TAKE_BACK, 6) { Behavior() }
                val others = ArrayList<OutcomeSummary>()
                SimulatedMove(MovePriority.TAKE_BACK, 7, behavior = ALWAYS_FAILING).apply {
                    delivery = { list -> list.also { others += it } }
                    run()
                }
                good.delivery = { it + others.map { other -> other.copy(service = ServiceId("pedidos")) } }
                good.run().state.phase shouldBe MovePhase.DONE
            }
        }

        describe("a judge that takes over") {
            // Guards against a new judge that, for lack of earlier outcomes, takes back a good release or misses a fault.
            for (second in listOf(30, 105, 118, 130)) {
                it("$second s after the start finishes a good release") {
                    val move = SimulatedMove(MovePriority.TAKE_BACK, 8) { Behavior() }
                    move.run { if (it == second) move.judge = move.newJudge() }.state.phase shouldBe MovePhase.DONE
                }

                it("$second s after the start takes back a release that then begins to fail") {
                    val move =
                        SimulatedMove(MovePriority.COMPLETION, 9) {
                            if (it.isNew && it.second > second + 2) Behavior(errors = 0.4) else Behavior()
                        }
                    move.run { if (it == second) move.judge = move.newJudge() }.state.phase shouldBe
                        MovePhase.TAKEN_BACK
                }
            }

            // Guards against a new judge near the deadline that takes a good release back for lack of calls.
            it("near the deadline does not give up for lack of calls") {
                val move = SimulatedMove(MovePriority.TAKE_BACK, 11, callsPerSecond = 100.0) { Behavior() }
                move.run { if (it == 85) move.judge = move.newJudge() }.state.phase shouldBe MovePhase.DONE
            }

            // Guards against a partitioned node that sees only an unhealthy domain and blames the new release for it.
            it("and sees the new release in one unhealthy domain only does not take it back") {
                val move =
                    SimulatedMove(MovePriority.TAKE_BACK, 12) {
                        if (it.domain ==
                            1
                        ) {
                            Behavior(errors = 0.2)
                        } else {
                            Behavior()
                        }
                    }
                val cutOff = move.newJudge()
                var takeBacks = 0
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
                        takeBacks++
                    }
                }
                takeBacks shouldBe 0
            }

            // Guards against good outcomes that undo a take-back before the log has recorded it.
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
