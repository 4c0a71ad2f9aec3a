package dev.baobabhollow.calls

import dev.baobabhollow.model.CallClass
import dev.baobabhollow.model.MemberId
import dev.baobabhollow.model.RouteId
import dev.baobabhollow.model.TenantId
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.doubles.shouldBeGreaterThan
import io.kotest.matchers.ints.shouldBeLessThan
import io.kotest.matchers.shouldBe
import java.util.PriorityQueue
import kotlin.math.ln
import kotlin.math.pow
import kotlin.random.Random

private const val SLOTS = 5
private const val SERVICE_MILLIS = 50.0
private const val TENANTS = 84
private const val ZIPF_EXPONENT = 1.2
private const val SPAN_MILLIS = 120_000L

private fun request(
    tenant: String?,
    route: String = "r",
    rank: Int = 0,
    deadlineMillis: Long = 1_000_000,
) = SlotRequest(
    MemberId("m"),
    RouteId(route),
    CallClass.LOOKUP,
    deadlineMillis,
    rank,
    tenant = tenant?.let(::TenantId),
)

private fun ticket(
    tenant: String?,
    route: String = "r",
    rank: Int = 0,
) = Ticket(request(tenant, route, rank)) {}

private fun FairQueue.pollAll() =
    generateSequence { poll(uploadsAllowed = true) }.map { it.request.tenant?.value to it.request.route.value }.toList()

/**
 * Simulates one target with calls of 84 tenants, which have Zipf-distributed shares of [load] times its capacity. The
 * largest tenant sends [excess] times its usual calls.
 */
private class TenantSimulation(
    private val load: Double,
    private val excess: Double,
    seed: Int,
    queuePermille: Int = AdmissionSettings().queuePermille,
    private val deadlineMillis: Long = 500,
) {
    class Counts {
        var calls = 0
        var served = 0
        val ratio: Double get() = served.toDouble() / calls
    }

    private class Event(
        val atMillis: Double,
        val run: () -> Unit,
    )

    private val random = Random(seed)
    private val admission =
        Admission(AdmissionSettings(queuePermille = queuePermille, initialServiceMicros = 50_000), SLOTS)
    private val events = PriorityQueue<Event>(compareBy { it.atMillis })
    private var now = 0.0
    val byTenant = List(TENANTS) { Counts() }
    val ratioOfAll: Double get() = byTenant.sumOf { it.served } / byTenant.sumOf { it.calls }.toDouble()

    fun run(): TenantSimulation {
        val shares = List(TENANTS) { (it + 1.0).pow(-ZIPF_EXPONENT) }
        val perMilli = load * SLOTS / SERVICE_MILLIS
        shares.forEachIndexed { tenant, share ->
            val rate = perMilli * share / shares.sum() * if (tenant == 0) excess else 1.0
            events += Event(interval(1 / rate)) { arrive(tenant, 1 / rate) }
        }
        while (now < SPAN_MILLIS) events.poll().also { now = it.atMillis }.run()
        return this
    }

    private fun interval(meanMillis: Double) = now - ln(1 - random.nextDouble()) * meanMillis

    private fun arrive(
        tenant: Int,
        meanMillis: Double,
    ) {
        events += Event(interval(meanMillis)) { arrive(tenant, meanMillis) }
        byTenant[tenant].calls++
        var ticket: Ticket? = null
        val deadline = now.toLong() + deadlineMillis
        val request = request("t$tenant", "r${random.nextInt(4)}", deadlineMillis = deadline)
        ticket =
            admission.submit(request, micros(), now.toLong()) { refusal ->
                if (refusal != null) return@submit
                byTenant[tenant].served++
                val end = now + SERVICE_MILLIS * (0.7 + 0.6 * random.nextDouble())
                events += Event(end) { admission.end(checkNotNull(ticket), micros(), now.toLong()) }
            }
    }

    private fun micros() = (now * 1_000).toLong()
}

/** Guards against a tenant whose calls displace those of the others, and against one that is starved. */
class TenantFairnessSpec :
    DescribeSpec({
        describe("a queue with calls of tenants") {
            it("serves the tenants of one rank in turn, and each of them its routes in turn") {
                val queue = FairQueue()
                repeat(3) { queue.add(ticket("big")) }
                queue.add(ticket("big", "s"))
                queue.add(ticket("small"))
                queue.add(ticket(null))
                queue.pollAll() shouldContainExactly
                    listOf("big" to "r", "small" to "r", null to "r", "big" to "s", "big" to "r", "big" to "r")
            }

            it("serves an urgent rank first") {
                val queue = FairQueue()
                queue.add(ticket("a", rank = 1))
                repeat(2) { queue.add(ticket("b", rank = 0)) }
                queue.pollAll().map { it.first } shouldContainExactly listOf("b", "b", "a")
            }

            // Guards against an estimate by which the calls of one tenant let those of others be refused.
            it("counts ahead of a call only those that are served before it") {
                val queue = FairQueue()
                repeat(10) { queue.add(ticket("big")) }
                repeat(2) { queue.add(ticket("mid")) }
                queue.countAhead(request("small")) shouldBe 2
                queue.countAhead(request("mid")) shouldBe 5
                queue.countAhead(request("big")) shouldBe 12
                queue.countAhead(request("small", rank = 1)) shouldBe 12
            }

            it("evicts from the tenant with most waiting calls") {
                val queue = FairQueue()
                repeat(2) { queue.add(ticket("many", "r$it")) }
                repeat(2) { queue.add(ticket("many", "s$it")) }
                repeat(3) { queue.add(ticket("few")) }
                queue.evict().request.tenant shouldBe TenantId("many")
                queue.size shouldBe 6
                queue.removeIf { it.request.tenant == TenantId("few") }.size shouldBe 3
                queue.size shouldBe 3
                queue.pollAll().size shouldBe 3
            }
        }

        describe("a target whose largest tenant sends 4 to 7.5 times its usual calls") {
            it("serves the calls of the others, and that tenant's at least a quarter as often as all") {
                listOf(4.0, 7.5).forEach { excess ->
                    repeat(3) { seed ->
                        val simulation = TenantSimulation(load = 0.6, excess, seed).run()
                        val others = simulation.byTenant.drop(1)
                        others.sumOf { it.served } / others.sumOf { it.calls }.toDouble() shouldBeGreaterThan 0.95
                        simulation.byTenant[0].ratio shouldBeGreaterThan simulation.ratioOfAll / 4
                    }
                }
            }
        }

        describe("a target that all tenants together overload") {
            // Guards against round-robin turns that leave almost nothing to the largest tenant.
            it("serves each tenant at least a quarter as often as all") {
                listOf(2.0, 5.0).forEach { load ->
                    repeat(3) { seed ->
                        val simulation = TenantSimulation(load, excess = 1.0, seed).run()
                        simulation.byTenant.filter { it.calls > 50 }.forEach {
                            it.ratio shouldBeGreaterThan simulation.ratioOfAll / 4
                        }
                    }
                }
            }

            // A short queue leaves the largest tenant a third by itself; a long one with turns alone leaves it less.
            it("serves each tenant at least a quarter as often as all, also with a long queue") {
                listOf(2.0, 5.0).forEach { load ->
                    repeat(3) { seed ->
                        val simulation = TenantSimulation(load, 1.0, seed, queuePermille = 10_000, 2_000).run()
                        simulation.byTenant.filter { it.calls > 50 }.forEach {
                            it.ratio shouldBeGreaterThan simulation.ratioOfAll / 4
                        }
                    }
                }
            }
        }

        describe("shares of tenants") {
            it("are not recorded while no call has a tenant") {
                val shares = TenantShares()
                repeat(1_000) { shares.recordCall(null) }
                shares.size shouldBe 0
                shares.isBelowFloor(null) shouldBe false
            }

            // Guards against memory that grows with the number of tenants that ever called.
            it("are forgotten for tenants without recent calls") {
                val shares = TenantShares()
                repeat(100_000) { shares.recordCall(TenantId("t$it")) }
                shares.size shouldBeLessThan 2_000
            }
        }
    })
