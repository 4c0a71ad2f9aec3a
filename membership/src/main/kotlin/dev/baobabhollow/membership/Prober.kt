package dev.baobabhollow.membership

import dev.baobabhollow.model.Endpoint
import dev.baobabhollow.model.NodeId
import dev.baobabhollow.model.NodeRecord
import dev.baobabhollow.model.NodeStatus

/** Probes the nodes of the own domain in random order and suspects those that answer neither directly nor to others. */
internal class Prober(
    private val fleet: Fleet,
) {
    private class Probe(
        val target: NodeRecord,
        val sequence: Long,
        val startedAtMillis: Long,
        var askedOthers: Boolean = false,
    )

    private class Relay(
        val requester: Endpoint,
        val sequence: Long,
    )

    private val settings = fleet.settings
    private val order = ArrayDeque<NodeId>()
    private val relays = LinkedHashMap<Long, Relay>()
    private var probe: Probe? = null
    private var nextSequence = fleet.random.nextLong(Int.MAX_VALUE.toLong())
    private var nextProbeAtMillis = fleet.random.nextLong(settings.probePeriodMillis)

    fun tick(nowMillis: Long): List<OutgoingMessage> {
        val out = mutableListOf<OutgoingMessage>()
        probe?.let { if (isDirectTimeOver(it, nowMillis)) out += askOthers(it) }
        if (nowMillis < nextProbeAtMillis) return out
        probe?.let { suspect(it, nowMillis) }
        nextProbeAtMillis = nowMillis + settings.probePeriodMillis
        out += startProbe(nowMillis)
        return out
    }

    /** Drops the outstanding probe, whose time limits mean nothing after the clock jumped. */
    fun abandon() {
        probe = null
    }

    fun receive(ping: Ping): List<OutgoingMessage> {
        if (ping.target != fleet.selfId) return emptyList()
        val known = fleet.table[ping.sender.node]
        val sender = ping.sender
        val isKnown = known != null && known.incarnation >= sender.incarnation && known.status != NodeStatus.DEAD
        val doubted = known?.takeIf { isDoubted(it, sender) }
        val ack = Ack(fleet.senderRecord(), fleet.takeUpdates(doubted), ping.sequence, wantsRecord = !isKnown)
        return listOf(OutgoingMessage(sender.endpoint, ack))
    }

    fun receive(ack: Ack): List<OutgoingMessage> {
        if (ack.wantsRecord) fleet.updates.add(fleet.self)
        if (ack.sequence == probe?.sequence) probe = null
        val relay = relays.remove(ack.sequence) ?: return emptyList()
        val answer = Ack(fleet.senderRecord(), fleet.takeUpdates(), relay.sequence)
        return listOf(OutgoingMessage(relay.requester, answer))
    }

    fun receive(request: PingRequest): List<OutgoingMessage> {
        val sequence = nextSequence++
        relays[sequence] = Relay(request.sender.endpoint, request.sequence)
        if (relays.size > MAX_RELAYS) relays -= relays.keys.first()
        val suspected = fleet.table[request.target]?.takeIf { it.status == NodeStatus.SUSPECT }
        val ping = Ping(fleet.senderRecord(), fleet.takeUpdates(suspected), request.target, sequence)
        return listOf(OutgoingMessage(Endpoint(request.host, request.port), ping))
    }

    private fun isDirectTimeOver(
        probe: Probe,
        nowMillis: Long,
    ) = !probe.askedOthers && nowMillis - probe.startedAtMillis >= settings.directProbeMillis

    private fun askOthers(probe: Probe): List<OutgoingMessage> {
        probe.askedOthers = true
        val target = probe.target
        val others = fleet.neighbours.filter { it.node != target.node && it.status != NodeStatus.SUSPECT }
        return fleet.pick(others, settings.indirectProbes).map {
            val endpoint = target.controlEndpoint
            val request =
                PingRequest(
                    sender = fleet.senderRecord(),
                    updates = fleet.takeUpdates(),
                    target = target.node,
                    host = endpoint.host,
                    port = endpoint.port,
                    sequence = probe.sequence,
                )
            OutgoingMessage(it.controlEndpoint, request)
        }
    }

    /** Suspects the probed node unless it has announced a higher incarnation since. */
    private fun suspect(
        probe: Probe,
        nowMillis: Long,
    ) {
        this.probe = null
        val current = fleet.table[probe.target.node] ?: return
        if (current.incarnation != probe.target.incarnation) return
        if (current.status == NodeStatus.ALIVE) fleet.merge(current.copy(status = NodeStatus.SUSPECT), nowMillis)
        if (current.status == NodeStatus.LEAVING) fleet.suspicions.start(current, nowMillis, fleet.domainSize)
    }

    private fun startProbe(nowMillis: Long): List<OutgoingMessage> {
        val target = nextTarget() ?: return emptyList()
        val started = Probe(target, nextSequence++, nowMillis)
        probe = started
        val suspected = target.takeIf { it.status == NodeStatus.SUSPECT }
        val ping = Ping(fleet.senderRecord(), fleet.takeUpdates(suspected), target.node, started.sequence)
        return listOf(OutgoingMessage(target.controlEndpoint, ping))
    }

    private fun nextTarget(): NodeRecord? {
        val neighbours = fleet.neighbours.associateBy { it.node }
        if (neighbours.isEmpty()) return null
        while (order.isNotEmpty()) neighbours[order.removeFirst()]?.let { return it }
        order.addAll(fleet.pick(neighbours.keys.toList(), neighbours.size))
        return neighbours[order.removeFirst()]
    }

    private companion object {
        const val MAX_RELAYS = 256
    }
}

/** Tells whether [known] says that the sender of a message is suspect or dead although it lives at that incarnation. */
internal fun isDoubted(
    known: NodeRecord,
    sender: SenderRecord,
): Boolean =
    sender.incarnation <= known.incarnation &&
        (known.status == NodeStatus.SUSPECT || known.status == NodeStatus.DEAD)
