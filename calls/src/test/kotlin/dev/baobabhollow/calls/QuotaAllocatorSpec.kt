package dev.baobabhollow.calls

import dev.baobabhollow.membership.FleetView
import dev.baobabhollow.model.NodeId
import dev.baobabhollow.model.NodeStatus
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.doubles.plusOrMinus
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.longs.shouldBeGreaterThan
import io.kotest.matchers.shouldBe
import kotlin.random.Random

/** Guards the budget of a failure domain against changes of the allocator, of the fleet and of the limit. */
class QuotaAllocatorSpec :
    DescribeSpec({
        describe("the allocator of a tenant") {
            // Mutation: a full bucket at each start lets a tenant send its burst after each restart.
            it("starts empty, after the tokens of its predecessor have expired") {
                val own = Own()
                own.allocator.ask(KEY, 1, 999) shouldBe QuotaAnswer(0, isAllocator = false)
                own.allocator.ask(KEY, 100, 1_000).granted shouldBe 0
                own.allocator.ask(KEY, 100, 2_000).granted shouldBe 10
            }

            it("has an equal part of the rate and of the burst for its failure domain") {
                val own = Own()
                own.allocator.ask(KEY, 255, 60_000).granted shouldBe 13
                own.allocator.ask(KEY, 255, 61_000).granted shouldBe 10
            }

            it("says when it expects a token, to each node that asks a later time") {
                val own = Own()
                own.allocator.ask(KEY, 255, 60_000)
                val first = own.allocator.ask(KEY, 5, 60_001).retryMillis
                val second = own.allocator.ask(KEY, 5, 60_001).retryMillis
                (second - first) shouldBe 250
                first shouldBeGreaterThan 0
            }

            it("grants what was asked to a tenant without a limit") {
                Own().allocator.ask(QuotaKey.of("unlimited"), 9, 0) shouldBe QuotaAnswer(9)
            }

            // A bucket that kept its level would let a lowered limit take effect only much later.
            it("applies a lower limit at once") {
                val own = Own()
                own.allocator.ask(KEY, 1, 60_000)
                own.allocator.updateLimits(mapOf(KEY to QuotaLimit(3.0, 0.0)))
                own.allocator.ask(KEY, 255, 60_001).granted shouldBeLessThanOrEqual 3
                own.allocator.ask(KEY, 255, 61_002).granted shouldBe 1
            }
        }

        describe("a node that is not the allocator") {
            it("grants nothing, and starts empty if it becomes it again") {
                val own = Own()
                val key = (1..100).map { QuotaKey.of("t$it") }.first { own.losesTo(it, "x") }
                own.allocator.updateLimits(mapOf(key to LIMIT))
                own.allocator.ask(key, 1, 60_000).granted shouldBe 1
                own.see(60_100, "self", "x")
                own.allocator.ask(key, 1, 60_100) shouldBe QuotaAnswer(0, isAllocator = false)
                own.see(60_200, "self")
                own.allocator.ask(key, 1, 61_000) shouldBe QuotaAnswer(0, isAllocator = false)
                own.allocator.ask(key, 9, 61_400).granted shouldBe 1
            }
        }

        describe("a change of other nodes") {
            // During a rolling restart the live nodes change all the time.
            it("does not empty the bucket of a node that stays the allocator") {
                val own = Own()
                val key = (1..100).map { QuotaKey.of("t$it") }.first { !own.losesTo(it, "x") }
                own.allocator.updateLimits(mapOf(key to LIMIT))
                own.allocator.ask(key, 1, 60_000).granted shouldBe 1
                own.see(60_100, "self", "x")
                own.allocator.ask(key, 5, 60_200).granted shouldBe 5
            }
        }

        describe("a node that sees most of its failure domain disappear") {
            // The other side of a partition allocates too.
            it("uses the part of the nodes that it still sees, until the others are forgotten") {
                val own = Own()
                own.see(0, "self", "b", "c", "d", "e", "f", "g", "h")
                own.see(1_000, "self", "b")
                own.tracker.fleet.domainShare(1_000) shouldBe (0.25 plusOrMinus 1e-9)
                own.tracker.fleet.domainShare(600_001) shouldBe 1.0
            }

            it("uses the whole part if few nodes have disappeared") {
                val own = Own()
                own.see(0, "self", "b", "c", "d", "e", "f", "g", "h")
                own.see(1_000, "self", "b", "c", "d", "e", "f")
                own.tracker.fleet.domainShare(1_000) shouldBe 1.0
            }
        }

        describe("the choice of an allocator") {
            // One node for many tenants would get all their questions; a choice that changes empties buckets.
            it("spreads the tenants over the nodes, and changes only those of a node that has left") {
                val nodes = (1..28).map { NodeId("n$it") }
                val all = QuotaRanking(nodes)
                val others = QuotaRanking(nodes.shuffled(Random(1)) - NodeId("n7"))
                val keys = (1..2_800).map { QuotaKey.of("t$it") }
                val counts = keys.groupingBy { all.first(it) }.eachCount()
                counts.size shouldBe 28
                counts.values.max() shouldBeLessThanOrEqual 150
                keys.forEach { key ->
                    if (all.first(key) != NodeId("n7")) others.first(key) shouldBe all.first(key)
                }
            }
        }

        describe("the number of failure domains") {
            // A domain that restarts while it is cut off knows no other one.
            it("is not less than the settings state, and not less than were ever seen") {
                val own = Own()
                own.tracker.fleet.domains shouldBe 3
                val nodes = (1..5).map { node("n$it", "d$it") } + node("self", "a")
                own.tracker.update(FleetView(NodeId("self"), nodes.associateBy { it.node }, 2), 10).domains shouldBe 6
                own.see(20, "self")
                own.tracker.fleet.domains shouldBe 6
            }
        }
    }) {
    private class Own {
        val tracker = QuotaFleetTracker(SETTINGS, NodeId("self"), node("self").failureDomain, 0)
        val allocator = QuotaAllocator(SETTINGS)

        init {
            allocator.updateLimits(mapOf(KEY to LIMIT))
            see(0, "self")
        }

        fun see(
            nowMillis: Long,
            vararg names: String,
        ) {
            val nodes = names.map { node(it, status = NodeStatus.ALIVE) }
            val view = FleetView(NodeId("self"), nodes.associateBy { it.node }, 1)
            allocator.updateFleet(tracker.update(view, nowMillis))
        }

        fun losesTo(
            key: QuotaKey,
            name: String,
        ): Boolean {
            val nodes = listOf("self", name).map { node(it) }.associateBy { it.node }
            val other = QuotaFleetTracker(SETTINGS, NodeId("self"), node("self").failureDomain, 0)
            return !other.update(FleetView(NodeId("self"), nodes, 1), 0).isAllocator(key)
        }
    }

    private companion object {
        val SETTINGS = QuotaSettings()
        val KEY = QuotaKey.of("alfa")
        val LIMIT = QuotaLimit(30.0, 30.0)
    }
}
