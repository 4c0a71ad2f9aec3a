package dev.baobabhollow.node

import dev.baobabhollow.calls.QuotaDecision
import dev.baobabhollow.calls.QuotaSettings
import dev.baobabhollow.membership.FleetView
import dev.baobabhollow.model.Endpoint
import dev.baobabhollow.model.FailureDomainId
import dev.baobabhollow.model.NodeId
import dev.baobabhollow.model.NodeRecord
import dev.baobabhollow.model.NodeStatus
import dev.baobabhollow.model.TenantConfig
import dev.baobabhollow.model.TenantId
import dev.baobabhollow.peers.QuotaMessage
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.ints.shouldBeInRange
import io.kotest.matchers.nulls.shouldBeNull
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import java.util.concurrent.RejectedExecutionException

private val ANA = TenantId("ana")
private val LIMITED = mapOf(ANA to TenantConfig(ratePerSecond = 30.0, burst = 30.0))

/** Guards the connection of the allocator and the stock of a node to its datagrams, its clock and its configuration. */
class NodeQuotasSpec :
    DescribeSpec({
        describe("nodes of a mesh without limits") {
            // Earlier deployments must not send a byte more than before.
            it("send nothing, schedule nothing and ask nobody") {
                val fleet = Fleet(2)
                fleet.update(mapOf(ANA to TenantConfig(), TenantId("zero") to TenantConfig(ratePerSecond = 0.0)))
                fleet.quotas.values.forEach {
                    it.keyOf(ANA).shouldBeNull()
                    it.keyOf(TenantId("zero")).shouldBeNull()
                    it.allocatedTenants shouldBe 0
                }
                fleet.sent.shouldBeEmpty()
                fleet.scheduled shouldBe 0
            }
        }

        describe("nodes of a mesh with a limit") {
            it("admit the burst and the rate between them, whoever the allocator is") {
                val fleet = Fleet(3).apply { update(LIMITED) }
                fleet.nowMillis = 10_000
                val admitted = (1..100).count { fleet.request(it % 3) is QuotaDecision.Granted }
                // One of three domains has a third of the burst and of half the slack.
                admitted shouldBeInRange 11..13
                fleet.sent.size shouldBeGreaterThan 0
                fleet.quotas.values.sumOf { it.allocatedTenants } shouldBe 1
                fleet.counted("granted") shouldBe admitted
                fleet.counted("over-quota") shouldBe 100 - admitted
            }

            it("deny with the time until a token is expected, and admit then") {
                val fleet = Fleet(3).apply { update(LIMITED) }
                fleet.nowMillis = 10_000
                repeat(100) { fleet.request(0) }
                val denied = fleet.request(0) as QuotaDecision.Denied
                fleet.nowMillis += denied.retryMillis
                (fleet.request(0) is QuotaDecision.Granted) shouldBe true
            }

            // Callers would be refused for seconds while the version spreads.
            it("admit requests while some nodes do not have the limit yet, and enforce a first limit at once") {
                val fleet = Fleet(3).apply { update(emptyMap()) }
                fleet.nowMillis = 10_000
                fleet.update(LIMITED, version = 2, at = fleet.quotas.values.take(1))
                repeat(9) { (fleet.request(0) is QuotaDecision.Granted) shouldBe true }
                fleet.update(LIMITED, version = 2)
                val admitted = (1..100).count { fleet.request(it % 3) is QuotaDecision.Granted }
                admitted shouldBeInRange 1..16
            }

            // A node that has just restarted knows no limits and would grant everything.
            it("get no tokens from a node without a confirmed configuration") {
                val fleet = Fleet(3)
                fleet.update(emptyMap(), version = 0)
                fleet.nowMillis = 10_000
                fleet.update(LIMITED, version = 2, at = fleet.quotas.values.take(1))
                val decision = fleet.request(0)
                val others = fleet.quotas.values.drop(1)
                others.sumOf { it.allocatedTenants } shouldBe 0
                if (fleet.sent.isNotEmpty()) (decision is QuotaDecision.Unavailable) shouldBe true
            }

            it("stop asking when the limit is removed") {
                val fleet = Fleet(2).apply { update(LIMITED) }
                fleet.quotas.values.forEach { it.keyOf(ANA).shouldNotBeNull() }
                fleet.update(emptyMap())
                fleet.quotas.values.forEach { it.keyOf(ANA).shouldBeNull() }
            }

            it("do not answer domains that fault injection cuts off") {
                val fleet = Fleet(3).apply { update(LIMITED) }
                fleet.nowMillis = 10_000
                fleet.isDropped = true
                repeat(10) { fleet.request(it % 3) }
                fleet.sent.shouldBeEmpty()
            }

            // Time series of each of thousands of tenants would fill the memory of the monitoring.
            it("name at most 100 tenants in their counts") {
                val counts = QuotaCounts()
                repeat(1_000) { counts.count("t$it", QuotaDecision.Denied(1)) }
                val names = mutableSetOf<String>()
                var sum = 0L
                counts.forEach { count, tenant, _ ->
                    names += tenant
                    sum += count
                }
                names.size shouldBe 101
                sum shouldBe 1_000
            }

            // A node that stops refuses new tasks while its event loops still run.
            it("survive a scheduler that has stopped") {
                val fleet = Fleet(3).apply { update(LIMITED) }
                fleet.isStopped = true
                fleet.nowMillis = 10_000
                repeat(3) { fleet.request(it) }
            }
        }
    }) {
    /** Nodes of one failure domain whose datagrams arrive at once. */
    private class Fleet(
        size: Int,
    ) {
        var nowMillis = 0L
        var scheduled = 0
        var isDropped = false
        var isStopped = false
        val sent = mutableListOf<QuotaMessage>()
        private val records = List(size) { record("n$it", 7_000 + it) }
        val quotas: Map<Endpoint, NodeQuotas> = records.associate { it.controlEndpoint to quotas(it) }

        fun update(
            tenants: Map<TenantId, TenantConfig>,
            version: Long = 1,
            at: Collection<NodeQuotas> = quotas.values,
        ) {
            val nodes = records.associateBy { it.node }
            at.forEach { it.update(version, tenants, FleetView(records.first().node, nodes, 1)) }
        }

        fun counted(result: String): Int {
            var sum = 0L
            quotas.values.forEach { it.counts.forEach { count, _, name -> if (name == result) sum += count } }
            return sum.toInt()
        }

        fun request(index: Int): QuotaDecision? {
            val node = quotas.values.elementAt(index)
            val key = checkNotNull(node.keyOf(ANA))
            var later: QuotaDecision? = null
            return node.take(key, {}) { later = it } ?: later
        }

        private fun quotas(self: NodeRecord) =
            NodeQuotas(
                settings = QuotaSettings(),
                self = self,
                nowMillis = { nowMillis },
                send = { to, message ->
                    sent += message
                    quotas.getValue(to).receive(message, self.controlEndpoint)
                },
                schedule = { _, _ -> if (isStopped) throw RejectedExecutionException() else scheduled++ },
                isDropped = { isDropped },
            )

        private fun record(
            name: String,
            port: Int,
        ): NodeRecord {
            val at = Endpoint("127.0.0.1", port)
            return NodeRecord(NodeId(name), FailureDomainId("a"), 1, NodeStatus.ALIVE, at, at, at)
        }
    }
}
