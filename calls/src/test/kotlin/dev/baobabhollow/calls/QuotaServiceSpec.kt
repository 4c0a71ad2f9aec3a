package dev.baobabhollow.calls

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.doubles.shouldBeGreaterThan
import io.kotest.matchers.doubles.shouldBeLessThan
import io.kotest.matchers.doubles.shouldBeLessThanOrEqual
import io.kotest.matchers.longs.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import kotlin.math.pow
import kotlin.random.Random

/** Guards the use of quotas: tenants within theirs must be served, wherever their callers are. */
class QuotaServiceSpec :
    DescribeSpec({
        describe("84 tenants on 83 nodes, whose limit is 1.6 times their demand") {
            // A refusal of a request within the quota loses its value.
            it("are admitted for at least 99% of their requests") {
                val simulation = deployment(seed = 1)
                TENANTS.forEach { (key, demand) -> simulation.load(key, demand, END_MILLIS) }
                simulation.runUntil(END_MILLIS)
                TENANTS.keys.forEach {
                    simulation.admittedShare(it) shouldBeGreaterThan 0.99
                    simulation.worstUse(it) shouldBeLessThanOrEqual 1.0
                }
                simulation.unavailable shouldBe 0
                simulation.longestWaitMillis shouldBeLessThanOrEqual 20L
                val perNode = simulation.questions * 1_000.0 / RUN_MILLIS / simulation.members.size
                println("questions per node and second: $perNode, for ${TENANTS.values.sum()} requests/s in all")
                perNode shouldBeLessThan 20.0
            }

            // Fixed shares of failure domains would leave such a tenant a third of its quota.
            it("use the whole quota with callers in one failure domain") {
                val simulation = deployment(seed = 2)
                val domain = simulation.members.filter { it.record.failureDomain.value == "d1" }
                TENANTS.forEach { (key, demand) -> simulation.load(key, demand, END_MILLIS, domain) }
                simulation.runUntil(END_MILLIS)
                TENANTS.keys.forEach { simulation.admittedShare(it) shouldBeGreaterThan 0.99 }
            }

            // The quota must bind the tenant at fault and no other.
            it("do not suffer from one that sends 6 times its usual load, which still gets its quota") {
                val simulation = deployment(seed = 3)
                val large = TENANTS.keys.first()
                TENANTS.forEach { (key, demand) ->
                    simulation.load(key, if (key == large) demand * 6 else demand, END_MILLIS)
                }
                simulation.runUntil(END_MILLIS)
                (TENANTS.keys - large).forEach { simulation.admittedShare(it) shouldBeGreaterThan 0.99 }
                simulation.worstUse(large) shouldBeLessThanOrEqual 1.0
                val rate = simulation.admitted.getValue(large).size * 1_000.0 / RUN_MILLIS
                val limit = LIMITS.getValue(large).ratePerSecond
                val perNode = simulation.questions * 1_000.0 / RUN_MILLIS / simulation.members.size
                println("of a limit of $limit/s, $rate/s were admitted; questions per node and second: $perNode")
                rate shouldBeGreaterThan limit * 0.9
                perNode shouldBeLessThan 40.0
            }

            // Two of three domains have 2/3 of the quota, and demand is 1/1.6 of it.
            it("are served while the nodes of a failure domain are down") {
                val simulation = deployment(seed = 4)
                val (down, up) = simulation.members.partition { it.record.failureDomain.value == "d2" }
                down.forEach { it.isUp = false }
                simulation.load(TENANTS.keys.first(), TENANTS.values.first(), END_MILLIS, up)
                simulation.runUntil(END_MILLIS)
                simulation.admittedShare(TENANTS.keys.first()) shouldBeGreaterThan 0.95
            }

            it("are served although a tenth of the datagrams is lost") {
                val simulation = deployment(seed = 5)
                simulation.lossShare = 0.1
                TENANTS.forEach { (key, demand) -> simulation.load(key, demand, END_MILLIS) }
                simulation.runUntil(END_MILLIS)
                val admitted = simulation.admitted.values.sumOf { it.size }
                val refused = simulation.refusedWithinQuota.values.sum()
                admitted.toDouble() / (admitted + refused) shouldBeGreaterThan 0.99
            }
        }
    }) {
    private companion object {
        const val START_MILLIS = 10_000L
        const val RUN_MILLIS = 20_000L
        const val END_MILLIS = START_MILLIS + RUN_MILLIS
        const val LARGEST_PER_SECOND = 112.0
        const val SMALLEST_PER_SECOND = 1.5

        /** Demand in requests a second by tenant, in a Zipf distribution with exponent 1.2. */
        val TENANTS =
            (1..84).associate {
                QuotaKey.of("tenant-$it") to maxOf(LARGEST_PER_SECOND * it.toDouble().pow(-1.2), SMALLEST_PER_SECOND)
            }
        val LIMITS = TENANTS.mapValues { QuotaLimit(it.value * 1.6, it.value * 1.6) }

        fun deployment(seed: Int): QuotaSimulation {
            val simulation = QuotaSimulation(Random(seed), listOf(28, 28, 27))
            simulation.applyLimits(LIMITS)
            simulation.everybodySeesAll()
            // Allocators start empty and fill first.
            simulation.runUntil(START_MILLIS)
            return simulation
        }
    }
}
