package dev.baobabhollow.moves

import dev.baobabhollow.model.FailureDomainId
import dev.baobabhollow.model.LatencyHistogram
import dev.baobabhollow.model.MoveEvidence
import dev.baobabhollow.model.MovePhase
import dev.baobabhollow.model.MovePlan
import dev.baobabhollow.model.MoveState
import dev.baobabhollow.model.NodeId
import dev.baobabhollow.model.OTHER_RELEASES
import dev.baobabhollow.model.OutcomeSummary
import dev.baobabhollow.model.ReleaseId
import dev.baobabhollow.model.RouteId
import dev.baobabhollow.model.ServiceId
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import io.kotest.matchers.types.shouldBeSameInstanceAs

private val NEW = ReleaseId("v2")
private val OLD = ReleaseId("v1")
private const val SPAN_MILLIS = 12_000L
private const val MARGIN_MILLIS = 10_800L
private val SHORT_PLAN = MovePlan(ServiceId("s"), OTHER_RELEASES, NEW, 0, SPAN_MILLIS, SPAN_MILLIS)
private val TRIAL = MoveState(SHORT_PLAN, "operator", stage = 1, sharePermille = 50)
private val WATCHED = MoveState(SHORT_PLAN, "operator", stage = 3, phase = MovePhase.WATCHING, sharePermille = 1_000)
private val ADVANCE = MoveDecision.Advance(1_000, "no fault in 0 calls", MoveEvidence.NONE)
private val FINISH = MoveDecision.Finish("no fault in 0 calls", MoveEvidence.NONE)
private val SERVING = ReleaseSlots(24, 24)

private fun calls(
    release: ReleaseId,
    calls: Long,
    errors: Long = 0,
    shed: Long = 0,
) = OutcomeSummary(
    NodeId("n-$release"),
    FailureDomainId("z"),
    SHORT_PLAN.service,
    RouteId("r"),
    release,
    endsAtMillis = 9_000,
    calls,
    errors,
    shed,
    LatencyHistogram().encode(),
)

class TakeoverGuardSpec :
    DescribeSpec({
        fun TakeoverGuard.finishAt(
            nowMillis: Long,
            new: ReleaseSlots = SERVING,
            old: ReleaseSlots = SERVING,
        ) = check(FINISH, WATCHED, new, old, nowMillis)

        // Guards against a move that is done by time alone: the old targets stop, and nothing serves any more.
        describe("a new release without calls, since its targets are lost") {
            listOf(
                "none has started" to ReleaseSlots(0, 0),
                "the only one has crashed" to ReleaseSlots(0, 12),
                "most of them have crashed" to ReleaseSlots(12, 36),
            ).forEach { (state, slots) ->
                it("gets no higher share, is not done, and is taken back near the deadline: $state") {
                    val guard = TakeoverGuard()
                    for (now in 0 until MARGIN_MILLIS step 100) {
                        guard.check(ADVANCE, TRIAL, slots, SERVING, now).shouldBeInstanceOf<MoveDecision.Hold>()
                        guard.finishAt(now, slots).shouldBeInstanceOf<MoveDecision.Hold>()
                    }
                    guard.finishAt(MARGIN_MILLIS, slots).shouldBeInstanceOf<MoveDecision.TakeBack>()
                }
            }

            it("is not done if they are lost after their calls at the full share succeeded") {
                val guard = TakeoverGuard()
                guard.observe(calls(NEW, 500), WATCHED)
                guard.finishAt(9_600, ReleaseSlots(0, 24)).shouldBeInstanceOf<MoveDecision.Hold>()
                guard.finishAt(9_700) shouldBeSameInstanceAs FINISH
            }

            // Guards against a loss of VMs that leaves no trace in the fleet view.
            it("is not done if most of its targets were seen to serve and their nodes are dead") {
                val guard = TakeoverGuard()
                guard.check(ADVANCE, TRIAL, ReleaseSlots(36, 36), SERVING, 6_000) shouldBeSameInstanceAs ADVANCE
                guard.observe(calls(NEW, 500), WATCHED)
                guard.finishAt(9_600, ReleaseSlots(12, 12)).shouldBeInstanceOf<MoveDecision.Hold>()
            }

            it("takes a release back that would be ended by a judge that took over after the deadline") {
                val guard = TakeoverGuard()
                guard.finishAt(60_000, ReleaseSlots(0, 12)).shouldBeInstanceOf<MoveDecision.Hold>()
                guard.finishAt(65_000, ReleaseSlots(0, 12)).shouldBeInstanceOf<MoveDecision.TakeBack>()
            }
        }

        // Guards against the same end by a release that is there but serves nothing.
        describe("a new release whose calls at the full share do not succeed") {
            mapOf(
                "too few errors to take it back" to listOf(calls(NEW, 2, errors = 2)),
                "all shed" to listOf(calls(NEW, 40, shed = 40)),
                "most of them shed" to listOf(calls(NEW, 40, errors = 2, shed = 30)),
                "all calls still at the old release" to listOf(calls(OLD, 40)),
            ).forEach { (outcome, summaries) ->
                it("is not done and is taken back near the deadline: $outcome") {
                    val guard = TakeoverGuard()
                    summaries.forEach { guard.observe(it, WATCHED) }
                    guard.finishAt(5_000).shouldBeInstanceOf<MoveDecision.Hold>()
                    guard.finishAt(MARGIN_MILLIS - 1).shouldBeInstanceOf<MoveDecision.Hold>()
                    guard.finishAt(MARGIN_MILLIS).shouldBeInstanceOf<MoveDecision.TakeBack>()
                }
            }

            it("is not done by calls that succeeded at a smaller share") {
                val guard = TakeoverGuard()
                guard.observe(calls(NEW, 500), TRIAL)
                guard.finishAt(9_600).shouldBeInstanceOf<MoveDecision.Hold>()
            }
        }

        describe("a new release that can take over") {
            it("is done as soon as its judge decides so") {
                val guard = TakeoverGuard()
                guard.check(ADVANCE, TRIAL, SERVING, SERVING, 6_000) shouldBeSameInstanceAs ADVANCE
                guard.observe(calls(NEW, 40, errors = 4, shed = 4), WATCHED)
                guard.finishAt(9_600) shouldBeSameInstanceAs FINISH
            }

            it("is done although one of its targets has crashed") {
                val guard = TakeoverGuard()
                guard.observe(calls(NEW, 40), WATCHED)
                guard.finishAt(9_600, ReleaseSlots(24, 36)) shouldBeSameInstanceAs FINISH
            }

            // Guards against a release that is taken back only because nobody calls its service.
            it("is done near the deadline if its service gets no calls") {
                val guard = TakeoverGuard()
                guard.finishAt(9_600).shouldBeInstanceOf<MoveDecision.Hold>()
                guard.finishAt(MARGIN_MILLIS) shouldBeSameInstanceAs FINISH
            }

            it("goes on when its targets are back") {
                val guard = TakeoverGuard()
                guard.check(ADVANCE, TRIAL, ReleaseSlots(0, 24), SERVING, 6_000).shouldBeInstanceOf<MoveDecision.Hold>()
                guard.check(ADVANCE, TRIAL, SERVING, SERVING, 6_500) shouldBeSameInstanceAs ADVANCE
            }
        }

        // Guards against a good release that is taken back by a node that sees only itself.
        it("does not take a release back while the targets of the old one can't be seen either") {
            val guard = TakeoverGuard()
            val lost = ReleaseSlots(0, 24)
            guard.finishAt(5_000)
            for (now in 9_600L..60_000L step 100) {
                guard.finishAt(now, lost, ReleaseSlots(12, 12)).shouldBeInstanceOf<MoveDecision.Hold>()
            }
        }

        it("leaves other decisions as they are") {
            val takeBack = MoveDecision.TakeBack("errors", MoveEvidence.NONE)
            TakeoverGuard().check(takeBack, TRIAL, ReleaseSlots(0, 0), SERVING, 0) shouldBe takeBack
        }
    })
