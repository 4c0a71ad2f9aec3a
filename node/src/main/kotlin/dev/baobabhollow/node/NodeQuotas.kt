package dev.baobabhollow.node

import dev.baobabhollow.calls.QuotaAllocator
import dev.baobabhollow.calls.QuotaAnswer
import dev.baobabhollow.calls.QuotaDecision
import dev.baobabhollow.calls.QuotaFleet
import dev.baobabhollow.calls.QuotaFleetTracker
import dev.baobabhollow.calls.QuotaKey
import dev.baobabhollow.calls.QuotaLimit
import dev.baobabhollow.calls.QuotaQuestion
import dev.baobabhollow.calls.QuotaSettings
import dev.baobabhollow.calls.QuotaStock
import dev.baobabhollow.calls.QuotaToken
import dev.baobabhollow.calls.QuotaWaiter
import dev.baobabhollow.membership.FleetView
import dev.baobabhollow.model.Endpoint
import dev.baobabhollow.model.FailureDomainId
import dev.baobabhollow.model.NodeRecord
import dev.baobabhollow.model.TenantConfig
import dev.baobabhollow.model.TenantId
import dev.baobabhollow.peers.QuotaMessage
import dev.baobabhollow.proxy.CallQuotas
import java.util.concurrent.RejectedExecutionException
import java.util.concurrent.ThreadLocalRandom
import java.util.concurrent.atomic.AtomicBoolean
import java.util.concurrent.atomic.AtomicLong

/**
 * Quotas at one node: allocates tokens for other nodes, and takes tokens for the requests of its own callers. While
 * no tenant of the configuration has a limit, it only follows the view, so that a first limit can be enforced at once.
 *
 * [send] sends a datagram to a control endpoint, [schedule] runs a task once after some milliseconds, and [isDropped]
 * is true for failure domains that fault injection cuts off. Thread-safe.
 */
internal class NodeQuotas(
    private val settings: QuotaSettings,
    private val self: NodeRecord,
    private val nowMillis: () -> Long,
    private val send: (Endpoint, QuotaMessage) -> Unit,
    private val schedule: (Long, () -> Unit) -> Any,
    private val isDropped: (FailureDomainId) -> Boolean,
) : CallQuotas {
    private class Limits(
        val keys: Map<TenantId, QuotaKey>,
        val names: Map<QuotaKey, String>,
        val tenants: Map<TenantId, TenantConfig>,
    )

    private val allocator = QuotaAllocator(settings)
    private val stock =
        QuotaStock(settings, ThreadLocalRandom.current().nextInt(), ::sendQuestion)
    private val isScheduled = AtomicBoolean()
    private val sentQuestions = AtomicLong()

    private val tracker = QuotaFleetTracker(settings, self.node, self.failureDomain, nowMillis())

    @Volatile
    private var limits = Limits(emptyMap(), emptyMap(), emptyMap())

    @Volatile
    private var nodesByEndpoint: Map<Endpoint, NodeRecord> = emptyMap()
    private var fleet: QuotaFleet = tracker.fleet
    private var appliedFleet: QuotaFleet? = null
    private var viewRevision: Long? = null

    /** Decisions on requests of this node's callers. */
    val counts = QuotaCounts()

    /** Number of questions sent to other nodes. */
    val questions: Long get() = sentQuestions.get()

    /** Number of tenants for which this node has allocated tokens. */
    val allocatedTenants: Int get() = allocator.size

    /**
     * Applies the tenants of the configuration [version], which is 0 until one is confirmed, and a view of the fleet. Call
     * it on one thread at a time.
     */
    fun update(
        version: Long,
        tenants: Map<TenantId, TenantConfig>,
        view: FleetView,
    ) {
        if (tenants !== limits.tenants) applyLimits(tenants)
        // Going through all nodes is not free, and most changes are those of the configuration.
        if (view.revision != viewRevision) {
            viewRevision = view.revision
            fleet = tracker.update(view, nowMillis())
        }
        // Until then this node does not know the limits, and would grant everything.
        if (version > 0 && fleet !== appliedFleet) applyFleet(fleet)
    }

    private fun applyLimits(tenants: Map<TenantId, TenantConfig>) {
        val limited = tenants.filterValues { (it.ratePerSecond ?: 0.0) > 0 }
        val keys = limited.mapValues { QuotaKey.of(it.key.value) }
        allocator.updateLimits(
            limited.entries.associate { (tenant, config) ->
                keys.getValue(tenant) to QuotaLimit(config.ratePerSecond ?: 0.0, config.burst ?: 0.0)
            },
        )
        limits = Limits(keys, keys.entries.associate { it.value to it.key.value }, tenants)
    }

    private fun applyFleet(next: QuotaFleet) {
        val now = nowMillis()
        val before = appliedFleet
        appliedFleet = next
        nodesByEndpoint =
            next.live.values
                .flatMap { it.values }
                .associateBy { it.controlEndpoint }
        allocator.updateFleet(next)
        stock.updateFleet(next)
        if (before?.domains == next.domains && before.domainShare(now) == next.domainShare(now)) return
        EventLog.write("quota_share_changed", "domains" to next.domains, "domainShare" to next.domainShare(now))
    }

    /** Handles a [message] from the control endpoint [from]. */
    fun receive(
        message: QuotaMessage,
        from: Endpoint,
    ) {
        val sender = nodesByEndpoint[from]
        if (sender != null && isDropped(sender.failureDomain)) return
        when (message) {
            is QuotaMessage.Question -> {
                val answer = allocator.ask(QuotaKey(message.key), message.wanted, nowMillis())
                send(from, QuotaMessage.Answer(message.id, answer.granted, answer.retryMillis, answer.isAllocator))
            }

            is QuotaMessage.Answer -> {
                val answer = QuotaAnswer(message.granted, message.retryMillis, message.isAllocator)
                sender?.let { stock.answer(message.id, it.node, answer, nowMillis()) }
            }
        }
    }

    override fun keyOf(tenant: TenantId): QuotaKey? = limits.keys[tenant]

    override fun take(
        key: QuotaKey,
        onWait: (QuotaWaiter) -> Unit,
        decide: (QuotaDecision) -> Unit,
    ): QuotaDecision? {
        val now =
            stock.take(key, nowMillis(), onWait) { later ->
                count(key, later)
                decide(later)
            }
        now?.let { count(key, it) }
        return now
    }

    private fun count(
        key: QuotaKey,
        decision: QuotaDecision,
    ) {
        limits.names[key]?.let { counts.count(it, decision) }
    }

    override fun giveBack(token: QuotaToken) = stock.giveBack(token, nowMillis())

    private fun sendQuestion(question: QuotaQuestion) {
        if (question.to == self.node) {
            val answer = allocator.ask(question.key, question.wanted, nowMillis())
            return stock.answer(question.id, self.node, answer, nowMillis())
        }
        scheduleAdvance()
        val node = tracker.fleet.nodeOf(question.to) ?: return
        if (isDropped(node.failureDomain)) return
        sentQuestions.incrementAndGet()
        send(node.controlEndpoint, QuotaMessage.Question(question.id, question.key.bits, question.wanted))
    }

    /** Runs [QuotaStock.advance] periodically while questions are open, and not otherwise. */
    private fun scheduleAdvance() {
        if (!isScheduled.compareAndSet(false, true)) return
        try {
            schedule(QuotaStock.ADVANCE_MILLIS) {
                isScheduled.set(false)
                stock.advance(nowMillis())
                if (stock.isAsking) scheduleAdvance()
            }
        } catch (_: RejectedExecutionException) {
            // The node stops, which ends the calls that wait.
            isScheduled.set(false)
        }
    }
}
