package dev.baobabhollow.membership

import dev.baobabhollow.model.Endpoint
import dev.baobabhollow.model.NodeRecord
import dev.baobabhollow.model.NodeStatus
import java.util.random.RandomGenerator

/** Returns a membership that knows only [self]. All choices are drawn from [random]. */
fun membership(
    self: NodeRecord,
    settings: MembershipSettings,
    random: RandomGenerator,
): Membership = SwimMembership(Fleet(self, settings, random))

internal class SwimMembership(
    private val fleet: Fleet,
) : Membership {
    private val settings = fleet.settings
    private val clock = SteadyClock(settings.maxStepMillis)
    private val prober = Prober(fleet)
    private val reconciler = Reconciler(fleet)
    private var lastHeardMillis = 0L
    private var nextUrgentMillis = 0L

    override val view: FleetView get() = fleet.table.view

    override fun join(
        seeds: List<Endpoint>,
        nowMillis: Long,
    ): List<OutgoingMessage> {
        advance(nowMillis)
        return reconciler.join(seeds)
    }

    override fun tick(nowMillis: Long): List<OutgoingMessage> {
        val now = advance(nowMillis)
        fleet.table.forgetDead(now)
        if (!isIsolated(now)) declareDead(now)
        return prober.tick(now) + reconciler.tick(now) + spreadUrgent(now)
    }

    override fun receive(
        message: MembershipMessage,
        nowMillis: Long,
    ): List<OutgoingMessage> {
        val now = advance(nowMillis)
        if (message.sender.node == fleet.selfId) return emptyList()
        hear(now)
        message.updates.forEach { merge(it.toRecord(), message is Records, now) }
        return when (message) {
            is Ping -> prober.receive(message)
            is Ack -> prober.receive(message)
            is PingRequest -> prober.receive(message)
            is Gossip -> emptyList()
            is Digest -> reconciler.receive(message)
            is Buckets -> reconciler.receive(message)
            is Records -> reconciler.receive(message)
        } + tellDoubt(message)
    }

    override fun gossipMessage(): MembershipMessage = Gossip(fleet.senderRecord(), fleet.takeUpdates())

    override fun announce(change: (NodeRecord) -> NodeRecord) = fleet.announce(change)

    private fun advance(wallMillis: Long): Long {
        if (!clock.advance(wallMillis)) prober.abandon()
        return clock.nowMillis
    }

    /**
     * A dead node that this node never knew, or has forgotten, is not taken over in reconciliation: nodes that forget at
     * different times would remind one another for ever.
     */
    private fun merge(
        record: NodeRecord,
        isReconciled: Boolean,
        nowMillis: Long,
    ) {
        if (isReconciled && record.status == NodeStatus.DEAD && fleet.table[record.node] == null) return
        fleet.merge(record, nowMillis, isNews = !isReconciled || !reconciler.isCatchingUp)
    }

    /** Tells a live node that it is held for dead, unless the message is answered anyway. */
    private fun tellDoubt(message: MembershipMessage): List<OutgoingMessage> {
        if (message is Ping || message is Digest) return emptyList()
        val known = fleet.table[message.sender.node] ?: return emptyList()
        if (known.status != NodeStatus.DEAD || !isDoubted(known, message.sender)) return emptyList()
        val gossip = Gossip(fleet.senderRecord(), listOf(CompactRecord.of(known)))
        return listOf(OutgoingMessage(message.sender.endpoint, gossip))
    }

    private fun hear(nowMillis: Long) {
        val silence = nowMillis - lastHeardMillis
        if (silence >= settings.isolatedAfterMillis) fleet.suspicions.restart(nowMillis, fleet.domainSize)
        lastHeardMillis = nowMillis
    }

    /**
     * Tells whether this node hears nobody. It then more likely lost its own network than all others died, and declares
     * nobody dead until the grace time is over.
     */
    private fun isIsolated(nowMillis: Long): Boolean =
        nowMillis - lastHeardMillis in settings.isolatedAfterMillis until settings.isolationGraceMillis

    private fun declareDead(nowMillis: Long) {
        fleet.suspicions.takeExpired(nowMillis).forEach { (node, incarnation) ->
            val current = fleet.table[node]
            val isUnchanged = current?.incarnation == incarnation && current.status != NodeStatus.ALIVE
            if (isUnchanged) fleet.merge(checkNotNull(current).copy(status = NodeStatus.DEAD), nowMillis)
        }
    }

    private fun spreadUrgent(nowMillis: Long): List<OutgoingMessage> {
        if (fleet.urgent.isEmpty || nowMillis < nextUrgentMillis) return emptyList()
        nextUrgentMillis = nowMillis + settings.urgentPeriodMillis
        val records = fleet.urgent.takeRound(settings.maxMessageBytes - MESSAGE_OVERHEAD_BYTES)
        val gossip = Gossip(fleet.senderRecord(), records.map(CompactRecord::of))
        val isOwn = records.any { it.node == fleet.selfId }
        val near = fleet.pick(fleet.neighbours, settings.urgentFanOut)
        val far = if (isOwn) oneOfEachOtherDomain() else emptyList()
        return (near + far).map { OutgoingMessage(it.controlEndpoint, gossip) }
    }

    private fun oneOfEachOtherDomain(): List<NodeRecord> =
        (fleet.byDomain() - fleet.domain).values.flatMap { fleet.pick(it, 1) }
}
