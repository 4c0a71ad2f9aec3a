package dev.baobabhollow.calls

import dev.baobabhollow.model.FailureDomainId
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.doubles.shouldBeLessThanOrEqual
import io.kotest.matchers.ints.shouldBeGreaterThan
import kotlin.random.Random

/** Guards the hard bound on the requests of a tenant: no fault may let all nodes together exceed it. */
class QuotaBoundSpec :
    DescribeSpec({
        describe("the requests of a tenant in any window") {
            (1..SEEDS).forEach { seed ->
                it("stay within the bound under random faults, seed $seed") {
                    val run = FaultyRun(seed)
                    run.simulation.runUntil(RUN_MILLIS)
                    run.checkBounds()
                }
            }

            // Tokens of a killed allocator are still in use when the next one starts.
            it("stay within the bound when the allocator is killed every few seconds") {
                val simulation = QuotaSimulation(Random(7), listOf(4, 4, 4))
                simulation.applyLimits(LIMITS)
                simulation.everybodySeesAll()
                overload(simulation)
                for (second in 5L..60L step 3) {
                    simulation.at(second * 1_000) {
                        simulation.members.forEach { it.clear() }
                        simulation.everybodySeesAll()
                    }
                }
                simulation.runUntil(RUN_MILLIS)
                LIMITS.keys.forEach { simulation.worstUse(it) shouldBeLessThanOrEqual 1.0 }
            }

            // The two sides of a split domain each have an allocator.
            it("stay within the bound when a domain is split for a minute") {
                val simulation = QuotaSimulation(Random(8), listOf(10, 10, 10))
                simulation.applyLimits(LIMITS)
                simulation.everybodySeesAll()
                overload(simulation)
                simulation.at(10_000) {
                    val (ours, others) = simulation.members.partition { it.record.failureDomain.value == "d0" }
                    val sides = listOf(ours.take(4), ours.drop(4))
                    sides.forEach { side -> side.forEach { it.see((side + others).map { m -> m.record }) } }
                }
                simulation.runUntil(RUN_MILLIS)
                LIMITS.keys.forEach { simulation.worstUse(it) shouldBeLessThanOrEqual 1.0 }
            }
        }
    }) {
    private companion object {
        const val SEEDS = 24
        const val RUN_MILLIS = 60_000L
        val LIMITS =
            mapOf(
                QuotaKey.of("large") to QuotaLimit(180.0, 180.0),
                QuotaKey.of("middle") to QuotaLimit(30.0, 30.0),
                QuotaKey.of("small") to QuotaLimit(3.0, 3.0),
                QuotaKey.of("no burst") to QuotaLimit(40.0, 0.0),
                QuotaKey.of("bursts") to QuotaLimit(20.0, 400.0),
            )

        /** Lets callers send six times each rate, and each burst every second. */
        fun overload(simulation: QuotaSimulation) =
            LIMITS.forEach { (key, limit) -> simulation.load(key, limit.ratePerSecond * 6 + limit.burst, RUN_MILLIS) }
    }

    /** Callers send six times the quota while faults of all kinds happen, several at once. */
    private class FaultyRun(
        seed: Int,
    ) {
        val random = Random(seed)
        val simulation = QuotaSimulation(random, listOf(5, 4, 3))
        private val loweredMillis = random.nextLong(10_000, 40_000)
        private val lowered = LIMITS.mapValues { QuotaLimit(it.value.ratePerSecond / 3, it.value.burst / 3) }

        init {
            simulation.applyLimits(LIMITS)
            simulation.everybodySeesAll()
            overload(simulation)
            simulation.at(loweredMillis) { lower() }
            nextFault()
        }

        fun checkBounds() {
            LIMITS.forEach { (key, limit) ->
                simulation.admitted.getValue(key).size shouldBeGreaterThan 0
                simulation.worstUse(key, limit = limit) shouldBeLessThanOrEqual 1.0
                val bindingMillis = loweredMillis + APPLY_MILLIS
                simulation.worstUse(key, bindingMillis, lowered.getValue(key)) shouldBeLessThanOrEqual 1.0
            }
        }

        private fun nextFault() {
            simulation.after(random.nextLong(50, 1_500)) {
                when (random.nextInt(6)) {
                    0 -> kill(random.nextInt(1, simulation.members.size + 1))
                    1 -> cutOff()
                    2 -> simulation.lossShare = random.nextDouble(0.0, 0.6)
                    3 -> delay()
                    4 -> doubt()
                    5 -> simulation.lossShare = 0.0
                }
                nextFault()
            }
        }

        private fun lower() {
            simulation.limits = lowered
            simulation.members.forEach { member ->
                simulation.after(random.nextLong(APPLY_MILLIS)) { member.allocator.updateLimits(lowered) }
            }
        }

        /** Kills nodes and restarts them with empty memory; some come back only after they were declared dead. */
        private fun kill(count: Int) {
            simulation.members.filter { it.isUp }.shuffled(random).take(count).forEach { member ->
                member.isUp = false
                val downMillis = random.nextLong(50, 8_000)
                if (downMillis > DETECTION_MILLIS) {
                    others(member).forEach { other -> hide(other, member, DETECTION_MILLIS) }
                }
                simulation.after(downMillis) { restart(member) }
            }
        }

        private fun restart(member: QuotaSimulation.Member) {
            member.clear()
            member.isUp = true
            member.see(listOf(member.record))
            simulation.after(random.nextLong(100, 800)) { refresh(member) }
            others(member).forEach { other ->
                simulation.after(random.nextLong(100, GOSSIP_MILLIS)) {
                    other.hidden.remove(member.record.node)
                    refresh(other)
                }
            }
        }

        private fun hide(
            from: QuotaSimulation.Member,
            member: QuotaSimulation.Member,
            afterMillis: Long,
        ) = simulation.after(afterMillis + random.nextLong(GOSSIP_MILLIS)) {
            if (member.isUp) return@after
            from.hidden.add(member.record.node)
            refresh(from)
        }

        private fun refresh(member: QuotaSimulation.Member) {
            if (!member.isUp) return
            val domain = member.record.failureDomain
            val isKnown: (FailureDomainId) -> Boolean = {
                it == domain ||
                    member.tracker.fleet.live
                        .containsKey(it) || isLinked(domain, it)
            }
            val seen = simulation.members.map { it.record }
            member.see(seen.filter { it.node !in member.hidden && isKnown(it.failureDomain) })
        }

        private fun isLinked(
            a: FailureDomainId,
            b: FailureDomainId,
        ) = a !in simulation.cutOff && b !in simulation.cutOff

        private fun cutOff() {
            val domain =
                simulation.members
                    .random(random)
                    .record.failureDomain
            if (!simulation.cutOff.add(domain)) return
            simulation.after(random.nextLong(500, 15_000)) {
                simulation.cutOff.remove(domain)
                simulation.members.forEach(::refresh)
            }
        }

        private fun delay() {
            val most = random.nextLong(2, 400)
            simulation.delayMillis = { random.nextLong(1, most) }
        }

        /** Half of the nodes believe for a while that a live node is dead: then two nodes allocate. */
        private fun doubt() {
            val member = simulation.members.random(random)
            val believers = others(member).filter { random.nextBoolean() }
            believers.forEach { it.hidden.add(member.record.node) }
            believers.forEach(::refresh)
            simulation.after(DOUBT_MILLIS) {
                believers.forEach { it.hidden.remove(member.record.node) }
                believers.forEach(::refresh)
            }
        }

        private fun others(member: QuotaSimulation.Member) =
            simulation.members.filter { it !== member && it.record.failureDomain == member.record.failureDomain }

        private companion object {
            const val APPLY_MILLIS = 2_500L
            const val DETECTION_MILLIS = 3_000L
            const val GOSSIP_MILLIS = 1_500L
            const val DOUBT_MILLIS = 2_500L
        }
    }
}
