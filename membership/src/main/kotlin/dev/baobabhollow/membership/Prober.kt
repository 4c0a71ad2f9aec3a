package dev.baobabhollow.membership

import dev.baobabhollow.model.Endpoint
import dev.baobabhollow.model.NodeId
import dev.baobabhollow.model.NodeRecord
import dev.baobabhollow.model.NodeStatus

/**
 * Probes the nodes of the own domain in random order and suspects those that respond to no direct or indirect probe.
 */
internal class Prober(
    private val state: MembershipState,
) {
    private class Probe(
        val target: NodeRecord,
        val sequence: Long,
        val startedAtMillis: Long,
        var sentPingRequests: Boolean = false,
    )

    private class Relay(
        val requester: Endpoint,
        val sequence: Long,
    )

    private val settings = state.settings
    private val order = ArrayDeque<NodeId>()
    private val relays = LinkedHashMap<Long, Relay>()
    private var probe: Probe? = null
    private var nextSequence = state.random.nextLong(Int.MAX_VALUE.toLong())
    private var nextProbeAtMillis = state.random.nextLong(settings.probePeriodMillis)

    fun tick(nowMillis: Long): List<OutgoingMessage> {
        val out = mutableListOf<OutgoingMessage>()
        probe?.let { if (isDirectProbeOverdue(it, nowMillis)) out += sendPingRequests(it) }
        if (nowMillis < nextProbeAtMillis) return out
        probe?.let { suspect(it, nowMillis) }
        nextProbeAtMillis = nowMillis + settings.probePeriodMillis
        out += startProbe(nowMillis)
        return out
    }

    /** Drops the outstanding probe, whose timeouts are invalid after a jump of the clock. */
    fun cancelProbe() {
        probe = null
    }

    fun receive(ping: Ping): List<OutgoingMessage> {
        if (ping.target != state.selfId) return emptyList()
        val known = state.table[ping.sender.node]
        val sender = ping.sender
        val isKnown = known != null && known.incarnation >= sender.incarnation && known.status != NodeStatus.DEAD
        val failureRecord = known?.takeIf { isBelievedFailed(it, sender) }
        val ack = Ack(state.senderRecord(), state.takeUpdates(failureRecord), ping.sequence, wantsRecord = !isKnown)
        return listOf(OutgoingMessage(sender.endpoint, ack))
    }

    fun receive(ack: Ack): List<OutgoingMessage> {
        if (ack.wantsRecord) state.updates.add(state.self)
        if (ack.sequence == probe?.sequence) probe = null
        val relay = relays.remove(ack.sequence) ?: return emptyList()
        val reply = Ack(state.senderRecord(), state.takeUpdates(), relay.sequence)
        return listOf(OutgoingMessage(relay.requester, reply))
    }

    fun receive(request: PingRequest): List<OutgoingMessage> {
        val sequence = nextSequence++
        relays[sequence] = Relay(request.sender.endpoint, request.sequence)
        if (relays.size > MAX_RELAYS) relays -= relays.keys.first()
        val suspected = state.table[request.target]?.takeIf { it.status == NodeStatus.SUSPECT }
        val ping = Ping(state.senderRecord(), state.takeUpdates(suspected), request.target, sequence)
        return listOf(OutgoingMessage(Endpoint(request.host, request.port), ping))
    }

    private fun isDirectProbeOverdue(
        probe: Probe,
        nowMillis: Long,
    ) = !probe.sentPingRequests && nowMillis - probe.startedAtMillis >= settings.directProbeMillis

    private fun sendPingRequests(probe: Probe): List<OutgoingMessage> {
        probe.sentPingRequests = true
        val target = probe.target
        val others = state.neighbours.filter { it.node != target.node && it.status != NodeStatus.SUSPECT }
        return state.pick(others, settings.indirectProbes).map {
            val endpoint = target.controlEndpoint
            val request =
                PingRequest(
                    sender = state.senderRecord(),
                    updates = state.takeUpdates(),
                    target = target.node,
                    host = endpoint.host,
                    port = endpoint.port,
                    sequence = probe.sequence,
                )
            OutgoingMessage(it.controlEndpoint, request)
        }
    }

    /** Suspects the probed node unless it has since announced a higher incarnation. */
    private fun suspect(
        probe: Probe,
        nowMillis: Long,
    ) {
        this.probe = null
        val current = state.table[probe.target.node] ?: return
        if (current.incarnation != probe.target.incarnation) return
        if (current.status == NodeStatus.ALIVE) state.merge(current.copy(status = NodeStatus.SUSPECT), nowMillis)
        if (current.status == NodeStatus.LEAVING) state.suspicions.start(current, nowMillis, state.domainSize)
    }

    private fun startProbe(nowMillis: Long): List<OutgoingMessage> {
        val target = nextTarget() ?: return emptyList()
        val started = Probe(target, nextSequence++, nowMillis)
        probe = started
        val suspected = target.takeIf { it.status == NodeStatus.SUSPECT }
        val ping = Ping(state.senderRecord(), state.takeUpdates(suspected), target.node, started.sequence)
        return listOf(OutgoingMessage(target.controlEndpoint, ping))
    }

    private fun nextTarget(): NodeRecord? {
        val neighbours = state.neighbours.associateBy { it.node }
        if (neighbours.isEmpty()) return null
        while (order.isNotEmpty()) neighbours[order.removeFirst()]?.let { return it }
        order.addAll(state.pick(neighbours.keys.toList(), neighbours.size))
        return neighbours[order.removeFirst()]
    }

    private companion object {
        const val MAX_RELAYS = 256
    }
}

/** True if [known] states that [sender], which is alive, is suspect or dead at its current or a higher incarnation. */
internal fun isBelievedFailed(
    known: NodeRecord,
    sender: SenderRecord,
): Boolean =
    sender.incarnation <= known.incarnation &&
        (known.status == NodeStatus.SUSPECT || known.status == NodeStatus.DEAD)
