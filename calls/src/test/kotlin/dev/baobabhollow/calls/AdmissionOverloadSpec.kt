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

/** Least goodput under overload, as a share of the target's capacity, from the design objectives. */
private const val GOODPUT = 0.9

/** Simulates calls of two routes, with ranks 1 and 2, that arrive at [load] times the capacity of the target. */
private class LoadSimulation(
    private val load: (Long) -> Double,
    private val knowsUsefulTime: Boolean = true,
    private val retries: Boolean = false,
    private val knowsAge: Boolean = true,
    seed: Int = 1,
) {
    class Counts {
        var offered = 0
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
                    offered += it.offered
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
            byRank.getValue(rank).offered++
            submit(rank, firstSentMillis = nowMillis)
            arrive()
        }
    }

    private var nextArrival = 0.0

    private fun submit(
        rank: Int,
        firstSentMillis: Long,
    ) {
        val arrived = nowMillis
        val useful = if (knowsUsefulTime) USEFUL_MILLIS else DEADLINE_MILLIS
        val request =
            SlotRequest(
                MemberId("m"),
                RouteId("r$rank"),
                CallClass.LOOKUP,
                deadlineMillis = firstSentMillis + DEADLINE_MILLIS,
                rank = rank,
                usefulUntilMillis = useful + if (knowsAge) firstSentMillis else arrived,
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
                decide(known, refusal, arrived, firstSentMillis)
            }
        }
        val submitted = admission.submit(request, nowMillis * 1_000, nowMillis, decided)
        ticket = submitted
        if (isEarly) decide(submitted, early, arrived, firstSentMillis)
    }

    private fun decide(
        ticket: Ticket,
        refusal: Refusal?,
        arrived: Long,
        firstSentMillis: Long,
    ) {
        val rank = ticket.request.rank
        val counts = byRank.getValue(rank)
        if (refusal != null) {
            longestRefusalMillis = maxOf(longestRefusalMillis, nowMillis - arrived)
            if (!retries || arrived > firstSentMillis) {
                counts.refused++
                return
            }
            val pause = admission.estimatedWaitMillis().coerceIn(1, (firstSentMillis + DEADLINE_MILLIS - nowMillis) / 3)
            at(nowMillis + pause) { submit(rank, firstSentMillis) }
            return
        }
        val service = SERVICE_MILLIS * exp(0.3 * gaussian() - 0.045)
        at(nowMillis + service.toLong()) {
            admission.end(ticket, nowMillis * 1_000, nowMillis)
            counts.served++
            if (nowMillis - firstSentMillis <= USEFUL_MILLIS) counts.useful++
        }
    }

    private fun gaussian(): Double = (0 until 12).sumOf { random.nextDouble() } - 6

    private companion object {
        const val RANK_ONE_SHARE = 0.3
    }
}

class AdmissionOverloadSpec :
    DescribeSpec({
        fun LoadSimulation.Counts.usefulShare() = useful.toDouble() / offered

        describe("a target that gets 1.5 times the calls of its capacity") {
            // Guards against a queue in which every call waits until its response is worth little.
            it("responds in time to nearly as many calls as its capacity") {
                repeat(5) { seed ->
                    val simulation = LoadSimulation({ 1.5 }, seed = seed).run()
                    simulation.all.usefulShare() shouldBeGreaterThan GOODPUT / 1.5
                    val without = LoadSimulation({ 1.5 }, knowsUsefulTime = false, seed = seed).run()
                    without.all.usefulShare() shouldBeLessThan simulation.all.usefulShare()
                }
            }

            // Guards against calls that wait although they cannot be served in time.
            it("refuses calls before their useful time has passed") {
                val simulation = LoadSimulation({ 1.5 }).run()
                simulation.longestRefusalMillis shouldBeLessThan USEFUL_MILLIS
            }

            // Guards against retries that arrive late and take the slots of calls that could still be served in time.
            it("prefers first attempts to retries") {
                repeat(5) { seed ->
                    val simulation = LoadSimulation({ 1.5 }, retries = true, seed = seed).run()
                    simulation.all.usefulShare() shouldBeGreaterThan GOODPUT / 1.5
                    val without = LoadSimulation({ 1.5 }, retries = true, knowsAge = false, seed = seed).run()
                    without.all.usefulShare() shouldBeLessThan simulation.all.usefulShare()
                }
            }

            it("serves more urgent calls first, and all of them while they are within its capacity") {
                val simulation = LoadSimulation({ 1.5 }).run()
                simulation.byRank.getValue(1).usefulShare() shouldBeGreaterThan 0.97
                simulation.byRank.getValue(2).usefulShare() shouldBeGreaterThan 0.35
            }
        }

        describe("a burst of three seconds") {
            it("has no effect on calls after its end") {
                val simulation = LoadSimulation({ if (it in 10_000..13_000) 1.7 else 0.7 }).run()
                val whole = 27 * 0.7 + 3 * 1.7
                val fits = (27 * 0.7 + 3 * 1.0) / whole
                simulation.all.usefulShare() shouldBeGreaterThan GOODPUT * fits
            }
        }
    })
