package dev.baobabhollow.membership

import dev.baobabhollow.model.Endpoint
import dev.baobabhollow.model.NodeRecord
import dev.baobabhollow.model.NodeStatus
import dev.baobabhollow.model.TargetRecord
import java.util.random.RandomGenerator

/** Returns a membership that knows only [self]. Uses [random] for all random choices. */
fun membership(
    self: NodeRecord,
    settings: MembershipSettings,
    random: RandomGenerator,
): Membership = SwimMembership(MembershipState(self, settings, random))

internal class SwimMembership(
    private val state: MembershipState,
) : Membership {
    private val settings = state.settings
    private val clock = SteadyClock(settings.maxStepMillis)
    private val prober = Prober(state)
    private val reconciler = Reconciler(state)
    private var lastHeardMillis = 0L
    private var nextUrgentMillis = 0L

    override val view: FleetView get() = state.table.view

    override fun join(
        seeds: List<Endpoint>,
        nowMillis: Long,
    ): List<OutgoingMessage> {
        advance(nowMillis)
        return reconciler.join(seeds)
    }

    override fun tick(nowMillis: Long): List<OutgoingMessage> {
        val now = advance(nowMillis)
        state.table.forgetDead(now)
        if (!isIsolated(now)) declareDead(now)
        return prober.tick(now) + reconciler.tick(now) + spreadUrgent(now)
    }

    override fun receive(
        message: MembershipMessage,
        nowMillis: Long,
    ): List<OutgoingMessage> {
        val now = advance(nowMillis)
        if (message.sender.node == state.selfId) return emptyList()
        recordContact(now)
        message.updates.forEach { merge(it.toRecord(), message is Records, now) }
        return when (message) {
            is Ping -> prober.receive(message)
            is Ack -> prober.receive(message)
            is PingRequest -> prober.receive(message)
            is Gossip -> emptyList()
            is Digest -> reconciler.receive(message)
            is Buckets -> reconciler.receive(message)
            is Records -> reconciler.receive(message)
        } + notifyDeclaredDead(message) + remindOfWithdrawal(message.sender)
    }

    override fun gossipMessage(): MembershipMessage = Gossip(state.senderRecord(), state.takeUpdates())

    override fun takeEarlierWithdrawal(): TargetRecord? =
        state.earlierWithdrawal?.target.also { state.earlierWithdrawal = null }

    override fun announce(change: (NodeRecord) -> NodeRecord) {
        state.announce(change)
        // The target may get its acknowledgement as soon as other nodes know, and its node may then be killed.
        if (isWithdrawn(state.self)) nextUrgentMillis = 0
    }

    private fun advance(wallMillis: Long): Long {
        if (!clock.advance(wallMillis)) prober.cancelProbe()
        return clock.nowMillis
    }

    /**
     * Merges [record]. Reconciliation does not add a dead node that this node never knew or has forgotten: otherwise
     * nodes that drop a tombstone at different times would return it to one another forever.
     */
    private fun merge(
        record: NodeRecord,
        isReconciled: Boolean,
        nowMillis: Long,
    ) {
        if (isReconciled && record.status == NodeStatus.DEAD && state.table[record.node] == null) return
        state.merge(record, nowMillis, shouldSpread = !isReconciled || !reconciler.isCatchingUp)
    }

    /** Returns a message that tells a live sender that it is believed dead, unless [message] gets a response anyway. */
    private fun notifyDeclaredDead(message: MembershipMessage): List<OutgoingMessage> {
        if (message is Ping || message is Digest) return emptyList()
        val known = state.table[message.sender.node] ?: return emptyList()
        if (known.status != NodeStatus.DEAD || !isBelievedFailed(known, message.sender)) return emptyList()
        val gossip = Gossip(state.senderRecord(), listOf(CompactRecord.of(known)))
        return listOf(OutgoingMessage(message.sender.endpoint, gossip))
    }

    /** Returns a message that tells a restarted sender which target it withdrew before. */
    private fun remindOfWithdrawal(sender: SenderRecord): List<OutgoingMessage> {
        val withdrawal = state.table.takeForgottenWithdrawal(sender.node) ?: return emptyList()
        return listOf(
            OutgoingMessage(sender.endpoint, Gossip(state.senderRecord(), listOf(CompactRecord.of(withdrawal)))),
        )
    }

    private fun recordContact(nowMillis: Long) {
        val silence = nowMillis - lastHeardMillis
        if (silence >= settings.isolatedAfterMillis) state.suspicions.restart(nowMillis, state.domainSize)
        lastHeardMillis = nowMillis
    }

    /**
     * True if this node receives no messages. It is then more likely that its own network failed than that all other
     * nodes died, so it declares no node dead until the grace time is over.
     */
    private fun isIsolated(nowMillis: Long): Boolean =
        nowMillis - lastHeardMillis in settings.isolatedAfterMillis until settings.isolationGraceMillis

    private fun declareDead(nowMillis: Long) {
        state.suspicions.takeExpired(nowMillis).forEach { (node, incarnation) ->
            val current = state.table[node]
            val isUnchanged = current?.incarnation == incarnation && current.status != NodeStatus.ALIVE
            if (isUnchanged) state.merge(checkNotNull(current).copy(status = NodeStatus.DEAD), nowMillis)
        }
    }

    private fun spreadUrgent(nowMillis: Long): List<OutgoingMessage> {
        if (state.urgent.isEmpty || nowMillis < nextUrgentMillis) return emptyList()
        nextUrgentMillis = nowMillis + settings.urgentPeriodMillis
        return state.urgent.takeRound(settings.maxMessageBytes - MESSAGE_OVERHEAD_BYTES).flatMap(::spreadBatch)
    }

    private fun spreadBatch(records: List<NodeRecord>): List<OutgoingMessage> {
        val gossip = Gossip(state.senderRecord(), records.map(CompactRecord::of))
        val isOwn = records.any { it.node == state.selfId }
        val neighbourSample = state.pick(state.neighbours, settings.urgentFanOut)
        val otherDomains = if (isOwn) oneOfEachOtherDomain() else emptyList()
        return (neighbourSample + otherDomains).map { OutgoingMessage(it.controlEndpoint, gossip) }
    }

    private fun oneOfEachOtherDomain(): List<NodeRecord> =
        (state.byDomain() - state.domain).values.flatMap { state.pick(it, 1) }
}
