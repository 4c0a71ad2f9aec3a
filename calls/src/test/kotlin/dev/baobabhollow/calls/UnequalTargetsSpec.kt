package dev.baobabhollow.calls

import dev.baobabhollow.model.NodeId
import dev.baobabhollow.model.RouteId
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.ints.shouldBeLessThan
import io.kotest.matchers.shouldBe
import java.util.PriorityQueue
import kotlin.math.ln
import kotlin.random.Random

class UnequalTargetsSpec :
    DescribeSpec({
        // Load: 29 targets of one service in 3 failure domains at 0.55 to 1.2 times the usual speed, each 15 % of the
        // time 2.5 times slower for 600 ms, and 89 entry nodes that share 70 % of what the targets can take.
        describe("targets of unequal speed with slow phases") {
            // Guards against entry nodes that learn of a slow phase only from the few calls of their own.
            it("get fewer late calls by the estimates of their owners than by the latency of own calls") {
                val seeds = listOf(1, 2, 3, 4, 5)
                val without = seeds.map { UnequalTargetsReplay(it, sendsEstimates = false).run() }
                val with = seeds.map { UnequalTargetsReplay(it, sendsEstimates = true).run() }
                println("late calls of ${UnequalTargetsReplay.CALLS}: without estimates $without, with $with")
                without.sumOf { it.late } shouldBeGreaterThan 0
                with.sumOf { it.late } * 10 shouldBeLessThan without.sumOf { it.late } * 9
                seeds.indices.forEach { with[it].late shouldBeLessThan without[it].late }
            }

            // Guards against an estimate that hides the calls that the node itself has sent since.
            it("lose calls of a node to others once that has many calls in flight there") {
                val settings = PickerSettings(selectionPolicy = SelectionPolicy.SHORTEST_WAIT, slowStartMillis = 100)
                val picker = TargetPicker(settings, NodeId("self"), OutlierDetector(OutlierSettings())) { 0 }
                val random = Random(1)
                val all = List(3) { target("target$it") }
                val targets = ReleaseTargets(OLD, all, emptyList())
                all.forEachIndexed { index, it ->
                    val micros = if (index == 0) 30_000L else 60_000L
                    picker.started(it, 1_000)
                    picker.finished(it, micros, 0, 1_000, ResponseTimeEstimate(0, micros, micros))
                }
                val shareOfFirst = {
                    (0 until 1_000).count {
                        picker.pick(
                            targets,
                            emptySet(),
                            1_100,
                            random,
                        ) == all[0]
                    }
                }
                shareOfFirst() shouldBeGreaterThan 950
                repeat(30) { picker.started(all[0], 1_100) }
                shareOfFirst() shouldBeLessThan 50
            }

            // Guards against a slow phase that counts long after its end, or a fast one that attracts calls.
            it("are compared by their usual times once their estimates are old") {
                val stats = TargetStats(1, 0)
                val micros = { now: Long -> stats.ownerEstimateMicros(8, now, PickerSettings())?.toInt() }
                micros(1_000) shouldBe null
                stats.observeEstimate(ResponseTimeEstimate(0, 150_000, 60_000), 1_000)
                listOf(1_000L, 1_300L, 9_000L).map(micros) shouldBe listOf(150_000, 105_000, 60_000)
                stats.observeEstimate(ResponseTimeEstimate(80_000, 60_000, 60_000), 10_000)
                listOf(10_000L, 12_000L, 14_000L).map(micros) shouldBe listOf(140_000, 100_000, 80_000)
            }

            // Guards against entry nodes that all select the target that has just looked fast.
            it("do not get longer queues by the estimates") {
                val seeds = listOf(6, 7, 8)
                val without = seeds.map { UnequalTargetsReplay(it, sendsEstimates = false).run() }
                val with = seeds.map { UnequalTargetsReplay(it, sendsEstimates = true).run() }
                println("calls that find 2 waiting for each slot: without estimates $without, with $with")
                with.sumOf { it.behindLongQueue } shouldBeLessThan without.sumOf { it.behindLongQueue }
            }
        }
    })

/** Late calls of a replay, and calls that found a queue of twice the slots. */
private data class ReplayResult(
    val late: Int,
    val behindLongQueue: Int,
)

/** Replays calls from entry nodes with a [TargetPicker] each to targets with a queue, in virtual time. */
private class UnequalTargetsReplay(
    seed: Int,
    private val sendsEstimates: Boolean,
) {
    private val random = Random(seed)
    private val targets = List(TARGETS) { SimulatedTarget(it, Random(seed * 100 + it)) }
    private val entries = List(ENTRY_NODES) { Entry(it) }
    private val events = PriorityQueue<Event>(compareBy<Event> { it.micros }.thenBy { it.number })
    private var eventCount = 0L
    private var late = 0
    private var behindLongQueue = 0

    fun run(): ReplayResult {
        val perSecond = LOAD * targets.sumOf { SLOTS / (MEAN_SERVICE_SECONDS * it.meanDuration) }
        var micros = 0L
        repeat(CALLS) { number ->
            micros += (-ln(1 - random.nextDouble()) / perSecond * 1e6).toLong()
            at(micros) { now -> call(number, now) }
        }
        while (true) events.poll()?.let { it.action(it.micros) } ?: break
        return ReplayResult(late, behindLongQueue)
    }

    private fun at(
        micros: Long,
        action: (Long) -> Unit,
    ) {
        events += Event(micros, eventCount++, action)
    }

    private fun call(
        number: Int,
        startMicros: Long,
    ) {
        val entry = entries[random.nextInt(ENTRY_NODES)]
        val chosen = checkNotNull(entry.picker.pick(entry.targets, emptySet(), startMicros / 1_000, random))
        entry.picker.started(chosen, startMicros / 1_000)
        val target = targets.first { it.endpoint.node == chosen.node }
        val transit = if (chosen in entry.targets.local) LOCAL_TRANSIT_MICROS else REMOTE_TRANSIT_MICROS
        val work = MEAN_SERVICE_SECONDS * 1e6 * (0.7 + 0.6 * random.nextDouble())
        at(startMicros + transit) { arrival ->
            if (target.waiting.size >= 2 * SLOTS) behindLongQueue++
            target.waiting +=
                { granted ->
                    val end = granted + (work * target.duration(granted)).toLong()
                    at(
                        end,
                    ) { now -> finish(target, now, granted) { end(entry, target, startMicros, it, transit, now) } }
                }
            target.grant(arrival)
        }
    }

    private fun finish(
        target: SimulatedTarget,
        now: Long,
        grantedMicros: Long,
        respond: (Reply) -> Unit,
    ) {
        val millis = now / 1_000
        target.estimator.onStated((target.phaseDuration(now) * 100).toInt(), millis)
        target.estimator.onServed(ROUTE, now - grantedMicros, millis)
        respond(Reply(target.calls * 1_000 / SLOTS, target.estimator.estimate(target.calls, SLOTS, millis)))
        target.inUse--
        target.grant(now)
    }

    private fun end(
        entry: Entry,
        target: SimulatedTarget,
        startMicros: Long,
        reply: Reply,
        transitMicros: Long,
        nowMicros: Long,
    ) = at(nowMicros + transitMicros) { now ->
        val estimate = if (sendsEstimates) reply.estimate else null
        entry.picker.finished(target.endpoint, now - startMicros, reply.loadPermille, now / 1_000, estimate)
        if (startMicros >= WARM_UP_MICROS && now - startMicros > OBJECTIVE_MICROS) late++
    }

    private class Event(
        val micros: Long,
        val number: Long,
        val action: (Long) -> Unit,
    )

    private class Reply(
        val loadPermille: Int,
        val estimate: ResponseTimeEstimate?,
    )

    private inner class Entry(
        index: Int,
    ) {
        private val domain = DOMAINS[index % DOMAINS.size]
        val targets =
            this@UnequalTargetsReplay.targets.map { it.endpoint }.partition { it.failureDomain.value == domain }.let {
                ReleaseTargets(OLD, it.first, it.second)
            }
        val picker =
            TargetPicker(
                PickerSettings(
                    selectionPolicy = SelectionPolicy.SHORTEST_WAIT,
                    slowStartMillis = 100,
                    remotePenaltyMicros = 10_000,
                ),
                NodeId("entry$index"),
                OutlierDetector(OutlierSettings()),
            ) { 0 }
    }

    private class SimulatedTarget(
        index: Int,
        private val random: Random,
    ) {
        val endpoint = target("target$index", DOMAINS[index % DOMAINS.size]).copy(slots = SLOTS)
        val estimator = ResponseTimeEstimator()
        val waiting = ArrayDeque<(Long) -> Unit>()
        var inUse = 0
        val calls get() = inUse + waiting.size
        private val speed = 0.55 + (1.2 - 0.55) * index / (TARGETS - 1)
        private var slowFromMicros = 0L
        private var slowUntilMicros = 0L
        val meanDuration = (1 + SLOW_SHARE * (SLOW_DURATION - 1)) / speed

        fun duration(nowMicros: Long) = phaseDuration(nowMicros) / speed

        fun phaseDuration(nowMicros: Long): Double {
            while (nowMicros >= slowUntilMicros) {
                val pause = SLOW_MICROS * (1 - SLOW_SHARE) / SLOW_SHARE
                slowFromMicros = slowUntilMicros + (-ln(1 - random.nextDouble()) * pause).toLong()
                slowUntilMicros = slowFromMicros + SLOW_MICROS
            }
            return if (nowMicros >= slowFromMicros) SLOW_DURATION else 1.0
        }

        fun grant(nowMicros: Long) {
            while (inUse < SLOTS) {
                val next = waiting.removeFirstOrNull() ?: return
                inUse++
                next(nowMicros)
            }
        }
    }

    companion object {
        const val CALLS = 30_000
        private const val TARGETS = 29
        private const val ENTRY_NODES = 89
        private const val SLOTS = 5
        private const val LOAD = 0.7
        private const val MEAN_SERVICE_SECONDS = 0.06
        private const val OBJECTIVE_MICROS = 200_000L
        private const val WARM_UP_MICROS = 3_000_000L
        private const val LOCAL_TRANSIT_MICROS = 300L
        private const val REMOTE_TRANSIT_MICROS = 1_400L
        private const val SLOW_SHARE = 0.15
        private const val SLOW_DURATION = 2.5
        private const val SLOW_MICROS = 600_000L
        private val DOMAINS = listOf("a", "b", "c")
        private val ROUTE = RouteId("r")
    }
}
