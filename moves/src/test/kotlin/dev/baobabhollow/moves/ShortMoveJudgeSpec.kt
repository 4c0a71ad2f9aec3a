package dev.baobabhollow.moves

import dev.baobabhollow.model.FULL_SHARE_PERMILLE
import dev.baobabhollow.model.FailureDomainId
import dev.baobabhollow.model.LatencyHistogram
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
import io.kotest.matchers.doubles.shouldBeLessThan
import io.kotest.matchers.shouldBe
import kotlin.random.Random

private val SERVICE = ServiceId("s")
private val NEW = ReleaseId("v2")
private val OLD = ReleaseId("v1")
private const val SPAN_MILLIS = 16_000L
private const val STEP_MILLIS = 200L
private const val BASE_MICROS = 90_000L

/**
 * Shares of the new release's calls that fail or are slow, as functions of the elapsed part of the move (0..1), the
 * release's share in permille and the route.
 */
private class ReleaseFaults(
    val errorShare: (Double, Int, RouteId) -> Double = { _, _, _ -> 0.004 },
    val slowShare: (Double, Int, RouteId) -> Double = { _, _, _ -> 0.0 },
)

/** Simulates a service with [callsPerSecond] whose outcomes reach the judge after [lagMillis]. */
private class Replay(
    val release: ReleaseFaults,
    val callsPerSecond: Int = 286,
    seed: Int = 1,
    val lagMillis: Long = 600,
) {
    private val random = Random(seed)
    private val judge = shortMoveJudge()
    private val plan = MovePlan(SERVICE, OTHER_RELEASES, NEW, 0, SPAN_MILLIS, SPAN_MILLIS)
    private val routes = listOf(RouteId("a"), RouteId("b"))
    private val delayed = ArrayDeque<Pair<Long, OutcomeSummary>>()
    var state = MoveState(plan, "operator")
    var newCalls = 0L
    var allCalls = 0L
    var finishedAtMillis: Long? = null

    fun run(): Replay {
        for (now in 0 until SPAN_MILLIS step STEP_MILLIS) {
            simulateCalls(now)
            while (delayed.isNotEmpty() && delayed.first().first <= now) judge.observe(delayed.removeFirst().second)
            if (!state.phase.isFinal) apply(judge.decide(state, now), now)
        }
        return this
    }

    private fun apply(
        decision: MoveDecision,
        now: Long,
    ) {
        state =
            when (decision) {
                is MoveDecision.Hold -> {
                    return
                }

                is MoveDecision.Advance -> {
                    val phase =
                        if (decision.sharePermille >=
                            FULL_SHARE_PERMILLE
                        ) {
                            MovePhase.WATCHING
                        } else {
                            MovePhase.RAMPING
                        }
                    state.copy(stage = state.stage + 1, sharePermille = decision.sharePermille, phase = phase)
                }

                is MoveDecision.TakeBack -> {
                    state.copy(phase = MovePhase.TAKEN_BACK, sharePermille = 0)
                }

                is MoveDecision.Finish -> {
                    state.copy(phase = MovePhase.DONE)
                }
            }
        if (state.phase.isFinal) finishedAtMillis = now
    }

    private fun simulateCalls(now: Long) {
        val calls = (callsPerSecond * STEP_MILLIS / 1_000).toInt()
        allCalls += calls
        repeat(calls) {
            val route = routes[if (random.nextDouble() < 0.8) 0 else 1]
            val isNew = random.nextInt(FULL_SHARE_PERMILLE) < state.sharePermille
            if (isNew) newCalls++
            val elapsed = now.toDouble() / SPAN_MILLIS
            val share = state.sharePermille
            val isError = random.nextDouble() < if (isNew) release.errorShare(elapsed, share, route) else 0.004
            val isSlow = isNew && random.nextDouble() < release.slowShare(elapsed, share, route)
            val spread = 0.5 + random.nextDouble()
            val micros = (BASE_MICROS * spread).toLong() * if (isSlow) 8 else 1
            delayed += now + lagMillis to summary(now, route, if (isNew) NEW else OLD, isError, micros, it)
        }
    }

    private fun summary(
        now: Long,
        route: RouteId,
        release: ReleaseId,
        isError: Boolean,
        micros: Long,
        index: Int,
    ) = OutcomeSummary(
        node = NodeId("n${random.nextInt(4)}-$release"),
        failureDomain = FailureDomainId("z"),
        service = SERVICE,
        route = route,
        release = release,
        endsAtMillis = now * 1_000 + index,
        calls = 1,
        errors = if (isError) 1 else 0,
        shed = 0,
        latency = LatencyHistogram().apply { record(micros) }.encode(),
    )
}

private val RUNNING =
    MoveState(
        MovePlan(SERVICE, OTHER_RELEASES, NEW, 0, SPAN_MILLIS, SPAN_MILLIS),
        "operator",
        stage = 1,
        sharePermille = 70,
    )

class ShortMoveJudgeSpec :
    DescribeSpec({
        fun exposure(replay: Replay) = replay.newCalls.toDouble() / replay.allCalls

        fun judgeOfRunningMove() = shortMoveJudge().also { it.decide(RUNNING, 0) }

        fun oneCall(
            node: NodeId,
            release: ReleaseId,
            endsAtMillis: Int,
            isError: Boolean,
        ) = OutcomeSummary(
            node = node,
            failureDomain = FailureDomainId("z"),
            service = SERVICE,
            route = RouteId("a"),
            release = release,
            endsAtMillis = endsAtMillis.toLong(),
            calls = 1,
            errors = if (isError) 1 else 0,
            shed = 0,
            latency = LatencyHistogram().apply { record(BASE_MICROS) }.encode(),
        )

        describe("a move that must be done within seconds") {
            it("completes a good release before its deadline") {
                repeat(20) { seed ->
                    listOf(286, 82).forEach { calls ->
                        val replay = Replay(ReleaseFaults(), calls, seed).run()
                        replay.state.phase shouldBe MovePhase.DONE
                        replay.finishedAtMillis!!.toDouble() shouldBeLessThan SPAN_MILLIS * 0.85
                    }
                }
            }

            // Guards against a bad release that gets more than a tenth of the calls, with a tolerance of 50 calls.
            it("takes back every kind of bad release with a small share of the calls") {
                val bad =
                    mapOf(
                        "errors" to ReleaseFaults(errorShare = { _, _, _ -> 0.5 }),
                        "slow" to ReleaseFaults(slowShare = { _, _, _ -> 0.5 }),
                        "late errors" to ReleaseFaults(errorShare = { time, _, _ -> if (time > 0.2) 0.5 else 0.0 }),
                        "under load" to ReleaseFaults(errorShare = { _, share, _ -> if (share > 500) 0.5 else 0.0 }),
                        "one route" to
                            ReleaseFaults(errorShare = { _, _, route -> if (route.value == "b") 0.5 else 0.0 }),
                    )
                bad.forEach { (kind, release) ->
                    repeat(20) { seed ->
                        listOf(286, 82).forEach { calls ->
                            val replay = Replay(release, calls, seed).run()
                            val allowed = 0.1 + 50.0 / (calls * SPAN_MILLIS / 1_000)
                            (kind to replay.state.phase) shouldBe (kind to MovePhase.TAKEN_BACK)
                            exposure(replay) shouldBeLessThan allowed
                        }
                    }
                }
            }

            // Guards against a good release that is taken back because of one unhealthy target.
            it("does not take back a release for one of its targets") {
                val judge = judgeOfRunningMove()
                repeat(40) { index ->
                    judge.observe(oneCall(NodeId("ill"), NEW, index, isError = true))
                    judge.observe(oneCall(NodeId("well"), NEW, index, isError = false))
                }
                (judge.decide(RUNNING, 1_000) is MoveDecision.TakeBack) shouldBe false
            }

            // Guards against a good release that is taken back for a route on which the old one fails as well (seen in
            // enredadera-prod trouble-2: 3 of 3 calls of the new release and 10 of 10 of the old one failed).
            it("does not take back a release for a route that fails with the old one too") {
                val judge = judgeOfRunningMove()
                repeat(10) { judge.observe(oneCall(NodeId("old-${it % 3}"), OLD, it, isError = true)) }
                repeat(3) { judge.observe(oneCall(NodeId("new-${it % 2}"), NEW, 100 + it, isError = true)) }
                (judge.decide(RUNNING, 1_000) is MoveDecision.TakeBack) shouldBe false
            }
        }
    })
