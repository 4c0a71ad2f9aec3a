package dev.baobabhollow.calls

import dev.baobabhollow.model.CallClass
import dev.baobabhollow.model.MemberId
import dev.baobabhollow.model.RouteId
import dev.baobabhollow.model.WarmUpConfig
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.ints.shouldBeLessThan
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.longs.shouldBeInRange
import io.kotest.matchers.shouldBe
import kotlin.random.Random

private val SETTINGS = ColdTargetSettings(overShare = 1.5, slack = 8.0)
private val WARM_UP = WarmUpConfig(requestsPerSecond = 10.5, durationMillis = 3_000)

/** `warmup-per-s` x `cold-over` + `cold-slack`. */
private const val BOUND = 23
private const val PROBE_MILLIS = 8L

private fun limiter(nowMillis: Long = 0) =
    ColdTargetLimiter(SETTINGS, nowMillis).also { it.configure(WARM_UP, nowMillis) }

/** Target that is cold in [coldPeriods] and counts the requests that it gets then. */
private class ColdTarget(
    private val coldPeriods: List<LongRange>,
) {
    val requests = mutableListOf<Long>()

    fun leftMillis(nowMillis: Long): Long =
        coldPeriods.firstOrNull { nowMillis in it }?.let { it.last + 1 - nowMillis } ?: 0

    fun coldRequests() = requests.filter { leftMillis(it) > 0 }

    fun mostInOneSecond(): Int {
        val cold = coldRequests()
        return cold.indices.maxOfOrNull { first -> cold.count { it in cold[first] until cold[first] + 1_000 } } ?: 0
    }
}

/** Sends as many requests as the limiter allows in each of [millis], with probes that take [PROBE_MILLIS]. */
private fun ColdTarget.load(
    limiter: ColdTargetLimiter,
    millis: LongRange,
    perMilli: Int = 1,
    answersProbes: (Long) -> Boolean = { true },
) {
    var probeMillis: Long? = null
    var handled: Long? = null
    for (now in millis) {
        val probe = probeMillis
        if (probe != null && now == probe + PROBE_MILLIS / 2) handled = leftMillis(now).takeIf { answersProbes(now) }
        if (probe != null && now == probe + PROBE_MILLIS) {
            limiter.onProbeResponse(handled, now)
            probeMillis = null
            handled = null
        }
        repeat(perMilli) {
            if (!limiter.allows(now)) return@repeat
            limiter.take(now)
            requests += now
        }
        if (limiter.startProbe(now)) probeMillis = now
    }
}

class ColdTargetLimiterSpec :
    DescribeSpec({
        describe("the load on a target that turns cold without notice") {
            // Guards against a target that crashes because its node believes it to be warm for too long.
            it("stays within the bound of any second, whatever is offered") {
                repeat(60) { seed ->
                    val random = Random(seed)
                    var at = 0L
                    val cold =
                        List(4) {
                            val start = at + random.nextLong(1, 2_500)
                            at = start + 3_000
                            start until at
                        }
                    val target = ColdTarget(cold)
                    val limiter = limiter()
                    limiter.onReport(1, 0, 0)
                    target.load(limiter, 0 until at + 1_000, perMilli = 1 + random.nextInt(3)) { random.nextInt(5) > 0 }
                    target.mostInOneSecond() shouldBeLessThanOrEqual BOUND
                }
            }

            it("is as high as the target can handle while it is cold, and hardly limited while it is warm") {
                val target = ColdTarget(listOf(0L until 3_000L))
                val limiter = limiter()
                limiter.onReport(1, 3_000, 0)
                target.load(limiter, 0 until 6_000L)
                target.coldRequests().size shouldBeGreaterThan 31
                // Twice what 8 slots take in two seconds with calls of 50 ms.
                target.requests.count { it >= 4_000 } shouldBeGreaterThan 640
            }

            // Guards against a late heartbeat that lifts the limit of a target that has become cold since.
            it("is not lifted by a report of the target that it is warm") {
                val target = ColdTarget(listOf(1_000L until 4_000L))
                val limiter = limiter()
                (1_200L until 4_000L step 100).forEach { report ->
                    limiter.onReport(1, 0, report)
                    target.load(limiter, report until report + 100)
                }
                target.mostInOneSecond() shouldBeLessThanOrEqual BOUND
            }

            // Guards against two processes that each use the whole burst of one second.
            it("stays within the bound when the node is killed and restarted during the warm-up") {
                val target = ColdTarget(listOf(0L until 10_000L))
                var start = 0L
                repeat(30) {
                    target.load(limiter(start), start until start + 300)
                    start += 310
                }
                target.mostInOneSecond() shouldBeLessThanOrEqual BOUND
            }
        }

        describe("health probes") {
            // Guards against probes, which take 6 ms of a slot, that protect nothing.
            it("are not sent while the target gets no more than a cold one may get, or is known to be cold") {
                val limiter = limiter()
                limiter.onReport(1, 0, 1_000)
                repeat(50) {
                    val now = 2_000 + it * 100L
                    limiter.allows(now) shouldBe true
                    limiter.take(now)
                    limiter.startProbe(now) shouldBe false
                }
                repeat(6) { limiter.take(10_000) }
                limiter.onReport(1, 500, 10_000)
                limiter.startProbe(10_100) shouldBe false
                repeat(6) { limiter.take(10_500) }
                limiter.startProbe(10_500) shouldBe true
            }

            // Guards against requests that the target gets after it handled the probe, and that nothing counts.
            it("let requests that were sent after them count") {
                val limiter = limiter()
                limiter.onReport(1, 0, 0)
                repeat(4) { limiter.take(999) }
                limiter.startProbe(1_000) shouldBe true
                repeat(2) { limiter.take(1_002) }
                limiter.allows(1_002) shouldBe false
                limiter.onProbeResponse(0, 1_002)
                repeat(4) {
                    limiter.allows(1_002) shouldBe true
                    limiter.take(1_002)
                }
                limiter.allows(1_002) shouldBe false
            }

            it("without a response leave the target cold for others, and are repeated after a pause") {
                val limiter = limiter()
                limiter.onReport(1, 0, 0)
                limiter.startProbe(0) shouldBe true
                limiter.startProbe(1) shouldBe false
                limiter.onProbeResponse(null, 10)
                limiter.isCold(10) shouldBe true
                limiter.startProbe(20) shouldBe false
                repeat(6) { limiter.take(300) }
                limiter.startProbe(300) shouldBe true
            }
        }

        describe("what is believed of a target") {
            it("is that it is cold until it reports otherwise, and after a new start") {
                val limiter = limiter()
                limiter.isCold(0) shouldBe true
                limiter.coldPerSecond(0) shouldBe 15.75
                limiter.onReport(7, 0, 100)
                limiter.isCold(100) shouldBe false
                limiter.onReport(7, null, 200)
                limiter.isCold(200) shouldBe false
                limiter.onReport(8, null, 300)
                limiter.isCold(3_299) shouldBe true
                limiter.isCold(3_300) shouldBe false
                limiter.onReport(9, 40, 4_000)
                limiter.isCold(4_040) shouldBe false
            }

            // Guards against a limit in deployments whose services have no warm-up.
            it("is nothing without a warm-up of its service") {
                val limiter = ColdTargetLimiter(SETTINGS, 0)
                limiter.isCold(0) shouldBe false
                limiter.startProbe(0) shouldBe false
                repeat(1_000) {
                    limiter.allows(0) shouldBe true
                    limiter.take(0)
                }
                limiter.refuses(100, 0) shouldBe false
            }
        }

        describe("a call to a cold target") {
            fun request(deadlineMillis: Long = 60_000) =
                SlotRequest(MemberId("m"), RouteId("r"), CallClass.LOOKUP, deadlineMillis)

            class Calls(
                val limiter: ColdTargetLimiter,
            ) {
                val admission = Admission(AdmissionSettings(), slots = 8, limiter)
                val decisions = mutableListOf<Refusal?>()

                fun submit(nowMillis: Long) =
                    admission.submit(request(), nowMillis * 1_000, nowMillis) {
                        decisions +=
                            it
                    }
            }

            // Guards against callers that wait at a cold target while others are free.
            it("is refused at once if it cannot be admitted soon") {
                val calls = Calls(limiter())
                calls.limiter.onReport(1, 3_000, 0)
                repeat(20) { calls.submit(1_000) }
                calls.decisions.count { it == null } shouldBe 6
                calls.decisions.count { it == Refusal.COLD_TARGET } shouldBe 13
                calls.admission.waiting shouldBe 1
                calls.admission.reconsider(1_064_000, 1_064)
                calls.decisions.count { it == null } shouldBe 7
            }

            // Guards against callers that come back at the time they are told and are all refused again.
            it("is told a time at which there is capacity, another one for each refused call") {
                val limiter = limiter()
                limiter.onReport(1, 3_000, 0)
                repeat(6) { limiter.take(1_000) }
                val times = List(20) { 1_000 + limiter.retryAfterMillis(0, 1_000) }
                times.first() shouldBeInRange 1_063L..1_065L
                times.distinct().size shouldBe 20
                times.forEach { time ->
                    limiter.allows(time) shouldBe true
                    limiter.take(time)
                }
                // None is told to come back later than the end of the warm-up.
                limiter.onReport(2, 500, 4_000)
                List(50) { limiter.retryAfterMillis(0, 4_000) }.max() shouldBe 500
            }

            // Guards against calls that keep waiting for a target that has just become cold.
            it("is refused if it was waiting when the target became cold") {
                val calls = Calls(limiter())
                calls.limiter.onReport(1, 0, 0)
                repeat(14) { calls.submit(1_000) }
                calls.decisions shouldContainExactly List(6) { null }
                calls.limiter.startProbe(1_000) shouldBe true
                calls.limiter.onProbeResponse(3_000, 1_008)
                calls.admission.reconsider(1_008_000, 1_008)
                calls.admission.waiting shouldBe 1
                calls.decisions.count { it == Refusal.COLD_TARGET } shouldBe 7
            }

            it("is admitted after a probe that finds the target warm, which holds a slot itself") {
                val calls = Calls(limiter())
                calls.limiter.onReport(1, 0, 0)
                repeat(10) { calls.submit(1_000) }
                calls.decisions.size shouldBe 6
                calls.admission.tryHold() shouldBe true
                calls.admission.tryHold() shouldBe true
                calls.admission.tryHold() shouldBe false
                calls.limiter.startProbe(1_001) shouldBe true
                calls.limiter.onProbeResponse(0, 1_009)
                repeat(2) { calls.admission.releaseHold() }
                calls.admission.reconsider(1_009_000, 1_009)
                calls.decisions.size shouldBe 8
                calls.admission.inUse shouldBe 8
                calls.decisions.size shouldBeLessThan 10
            }
        }
    })
