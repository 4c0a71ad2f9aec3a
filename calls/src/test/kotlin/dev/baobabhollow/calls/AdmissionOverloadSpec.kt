package dev.baobabhollow.calls

import dev.baobabhollow.model.CallClass
import dev.baobabhollow.model.MemberId
import dev.baobabhollow.model.RouteId
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.doubles.shouldBeGreaterThan
import io.kotest.matchers.doubles.shouldBeLessThan
import io.kotest.matchers.longs.shouldBeLessThan
import java.util.PriorityQueue
import kotlin.math.exp
import kotlin.math.ln
import kotlin.random.Random

private const val SLOTS = 12
private const val SERVICE_MILLIS = 90.0
private const val USEFUL_MILLIS = 300L
private const val DEADLINE_MILLIS = 1_200L
private const val SPAN_MILLIS = 30_000L

/** Part of what a target can take that must be answered in time under overload, from the objectives of the design. */
private const val GOODPUT = 0.9

/** Replays calls that arrive at [load] times what the target can take, of two routes with ranks 1 and 2. */
private class LoadSimulation(
    private val load: (Long) -> Double,
    private val knowsUsefulTime: Boolean = true,
    private val retries: Boolean = false,
    private val knowsAge: Boolean = true,
    seed: Int = 1,
) {
    class Counts {
        var asked = 0
        var useful = 0
        var served = 0
        var refused = 0
    }

    private class Event(
        val atMillis: Long,
        val run: () -> Unit,
    )

    private val random = Random(seed)
    private val admission = Admission(AdmissionSettings(initialServiceMicros = 60_000), SLOTS)
    private val events = PriorityQueue<Event>(compareBy { it.atMillis })
    private var nowMillis = 0L
    val byRank = mapOf(1 to Counts(), 2 to Counts())
    var longestRefusalMillis = 0L

    val all: Counts
        get() =
            Counts().apply {
                byRank.values.forEach {
                    asked += it.asked
                    useful += it.useful
                    served += it.served
                    refused += it.refused
                }
            }

    fun run(): LoadSimulation {
        arrive()
        while (events.isNotEmpty()) {
            val event = events.poll()
            nowMillis = event.atMillis
            event.run()
        }
        return this
    }

    private fun at(
        millis: Long,
        run: () -> Unit,
    ) = events.add(Event(millis, run))

    private fun arrive() {
        if (nowMillis > SPAN_MILLIS) return
        val meanGap = SERVICE_MILLIS / SLOTS / load(nowMillis)
        val gap = -ln(1 - random.nextDouble()) * meanGap
        nextArrival += gap
        at(nextArrival.toLong()) {
            val rank = if (random.nextDouble() < RANK_ONE_SHARE) 1 else 2
            byRank.getValue(rank).asked++
            submit(rank, madeMillis = nowMillis)
            arrive()
        }
    }

    private var nextArrival = 0.0

    private fun submit(
        rank: Int,
        madeMillis: Long,
    ) {
        val arrived = nowMillis
        val useful = if (knowsUsefulTime) USEFUL_MILLIS else DEADLINE_MILLIS
        val request =
            SlotRequest(
                MemberId("m"),
                RouteId("r$rank"),
                CallClass.LOOKUP,
                deadlineMillis = madeMillis + DEADLINE_MILLIS,
                rank = rank,
                usefulUntilMillis = useful + if (knowsAge) madeMillis else arrived,
            )
        var ticket: Ticket? = null
        var early: Refusal? = null
        var isEarly = false
        val decided = { refusal: Refusal? ->
            val known = ticket
            if (known == null) {
                early = refusal
                isEarly = true
            } else {
                decide(known, refusal, arrived, madeMillis)
            }
        }
        val submitted = admission.submit(request, nowMillis * 1_000, nowMillis, decided)
        ticket = submitted
        if (isEarly) decide(submitted, early, arrived, madeMillis)
    }

    private fun decide(
        ticket: Ticket,
        refusal: Refusal?,
        arrived: Long,
        madeMillis: Long,
    ) {
        val rank = ticket.request.rank
        val counts = byRank.getValue(rank)
        if (refusal != null) {
            longestRefusalMillis = maxOf(longestRefusalMillis, nowMillis - arrived)
            if (!retries || arrived > madeMillis) {
                counts.refused++
                return
            }
            val pause = admission.estimatedWaitMillis().coerceIn(1, (madeMillis + DEADLINE_MILLIS - nowMillis) / 3)
            at(nowMillis + pause) { submit(rank, madeMillis) }
            return
        }
        val service = SERVICE_MILLIS * exp(0.3 * gaussian() - 0.045)
        at(nowMillis + service.toLong()) {
            admission.end(ticket, nowMillis * 1_000, nowMillis)
            counts.served++
            if (nowMillis - madeMillis <= USEFUL_MILLIS) counts.useful++
        }
    }

    private fun gaussian(): Double = (0 until 12).sumOf { random.nextDouble() } - 6

    private companion object {
        const val RANK_ONE_SHARE = 0.3
    }
}

class AdmissionOverloadSpec :
    DescribeSpec({
        fun LoadSimulation.Counts.usefulShare() = useful.toDouble() / asked

        describe("a target that gets half as many calls again as it can take") {
            // Guards against a queue in which every call waits until its answer is worth little.
            it("answers nearly as many calls in time as it has room for") {
                repeat(5) { seed ->
                    val replay = LoadSimulation({ 1.5 }, seed = seed).run()
                    replay.all.usefulShare() shouldBeGreaterThan GOODPUT / 1.5
                    val without = LoadSimulation({ 1.5 }, knowsUsefulTime = false, seed = seed).run()
                    without.all.usefulShare() shouldBeLessThan replay.all.usefulShare()
                }
            }

            // Guards against calls that are held although it is known that they cannot be served.
            it("refuses before the answer would have been late") {
                val replay = LoadSimulation({ 1.5 }).run()
                replay.longestRefusalMillis shouldBeLessThan USEFUL_MILLIS
            }

            // Guards against calls that come back late and take the slots of those that could still be answered in
            // time.
            it("prefers calls that it has not refused before") {
                repeat(5) { seed ->
                    val replay = LoadSimulation({ 1.5 }, retries = true, seed = seed).run()
                    replay.all.usefulShare() shouldBeGreaterThan GOODPUT / 1.5
                    val without = LoadSimulation({ 1.5 }, retries = true, knowsAge = false, seed = seed).run()
                    without.all.usefulShare() shouldBeLessThan replay.all.usefulShare()
                }
            }

            it("serves the more urgent calls first, and all of them while they fit") {
                val replay = LoadSimulation({ 1.5 }).run()
                replay.byRank.getValue(1).usefulShare() shouldBeGreaterThan 0.97
                replay.byRank.getValue(2).usefulShare() shouldBeGreaterThan 0.35
            }
        }

        describe("a burst of three seconds") {
            it("is over for callers as soon as it ends") {
                val replay = LoadSimulation({ if (it in 10_000..13_000) 1.7 else 0.7 }).run()
                val whole = 27 * 0.7 + 3 * 1.7
                val fits = (27 * 0.7 + 3 * 1.0) / whole
                replay.all.usefulShare() shouldBeGreaterThan GOODPUT * fits
            }
        }
    })
