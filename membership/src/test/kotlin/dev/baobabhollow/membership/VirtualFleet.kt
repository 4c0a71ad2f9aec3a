package dev.baobabhollow.membership

import dev.baobabhollow.model.Endpoint
import dev.baobabhollow.model.FailureDomainId
import dev.baobabhollow.model.NodeId
import dev.baobabhollow.model.NodeRecord
import dev.baobabhollow.model.NodeStatus
import dev.baobabhollow.model.ReleaseId
import dev.baobabhollow.model.ServiceId
import dev.baobabhollow.model.TargetRecord
import java.util.PriorityQueue
import java.util.SplittableRandom

/** Simulates many memberships in virtual time, with message loss, duplication, reordering, pauses and partitions. */
internal class VirtualFleet(
    seed: Long,
    private val settings: MembershipSettings = MembershipSettings(),
) {
    private class Arrival(
        val atMillis: Long,
        val order: Long,
        val from: Endpoint,
        val outgoing: OutgoingMessage,
    )

    /** Node with one membership. [clockOffsetMillis] is the error of its wall clock. */
    class Node(
        val record: NodeRecord,
        val membership: Membership,
    ) {
        var isRunning = true
        var clockOffsetMillis = 0L
    }

    private val random = SplittableRandom(seed)

    /** Bytes of all updates that were sent, as an upper bound of their encoded size. */
    var sentUpdateBytes = 0L
        private set
    private val arrivals = PriorityQueue<Arrival>(compareBy({ it.atMillis }, { it.order }))
    private val byEndpoint = HashMap<Endpoint, Node>()
    private var sent = 0L
    val nodes = LinkedHashMap<NodeId, Node>()
    var nowMillis = START_MILLIS
    var lossPercent = 0
    var duplicatePercent = 0
    var maxDelayMillis = 2L
    var isPartitioned: (FailureDomainId, FailureDomainId) -> Boolean = { _, _ -> false }

    /** Called for every message that is sent; returns false to drop it. */
    var onSend: (Endpoint, OutgoingMessage) -> Boolean = { _, _ -> true }

    fun add(
        name: String,
        incarnation: Long = 1,
        seeds: List<String> = emptyList(),
        hasTarget: Boolean = true,
    ): Node {
        val record = recordOf(name, incarnation).let { if (hasTarget) it else it.copy(target = null) }
        val node = Node(record, membership(record, settings, random.split()))
        nodes[record.node] = node
        byEndpoint[record.controlEndpoint] = node
        val endpoints = seeds.map { recordOf(it, 0).controlEndpoint }
        send(node, node.membership.join(endpoints, nowMillis))
        return node
    }

    /** Adds [count] nodes to [domain] that join through [seeds]. */
    fun addDomain(
        domain: String,
        count: Int,
        seeds: List<String> = listOf("$domain-0"),
    ) = repeat(count) { add("$domain-$it", seeds = seeds) }

    operator fun get(name: String): Node = nodes.getValue(NodeId(name))

    fun runUntil(
        limitMillis: Long,
        condition: () -> Boolean = { false },
    ): Long {
        val startMillis = nowMillis
        while (nowMillis - startMillis < limitMillis) {
            if (condition()) return nowMillis - startMillis
            nowMillis += TICK_MILLIS
            deliver()
            nodes.values.filter { it.isRunning }.forEach {
                send(it, it.membership.tick(nowMillis + it.clockOffsetMillis))
            }
        }
        return limitMillis
    }

    /** Sends what [node] sends when its directory lists [contacts]. */
    fun join(
        node: Node,
        contacts: List<Node>,
    ) = send(node, node.membership.join(contacts.map { it.record.controlEndpoint }, nowMillis))

    /** Sends what [node] has to send at once, as the control thread does after a change. */
    fun sendNow(node: Node) = send(node, node.membership.tick(nowMillis + node.clockOffsetMillis))

    /** Delivers [message] to [to] at once and sends the responses. */
    fun inject(
        to: Node,
        message: MembershipMessage,
    ) = send(to, to.membership.receive(message, nowMillis + to.clockOffsetMillis))

    /** Returns the status of [node] in the view of each running node, except of [node] itself. */
    fun statusesOf(
        node: String,
        among: (Node) -> Boolean = { true },
    ): List<NodeStatus?> =
        nodes.values
            .filter { it.isRunning && it.record.node.value != node && among(it) }
            .map {
                it.membership.view.nodes[NodeId(node)]
                    ?.status
            }

    fun isComplete(): Boolean {
        val running = nodes.values.filter { it.isRunning }
        return running.all { node -> running.all { isAlive(node, it.record.node) } }
    }

    private fun isAlive(
        node: Node,
        other: NodeId,
    ) = node.membership.view.nodes[other]
        ?.status == NodeStatus.ALIVE

    private fun send(
        from: Node,
        messages: List<OutgoingMessage>,
    ) = messages.forEach { outgoing ->
        if (!onSend(from.record.controlEndpoint, outgoing) || random.nextInt(PERCENT) < lossPercent) return@forEach
        enqueue(from, outgoing)
        if (random.nextInt(PERCENT) < duplicatePercent) enqueue(from, outgoing)
    }

    private fun enqueue(
        from: Node,
        outgoing: OutgoingMessage,
    ) {
        sentUpdateBytes += outgoing.message.updates.sumOf { it.maxBytes }
        val delay = 1 + random.nextLong(maxDelayMillis)
        arrivals += Arrival(nowMillis + delay, sent++, from.record.controlEndpoint, outgoing)
    }

    private fun deliver() {
        while ((arrivals.peek() ?: return).atMillis <= nowMillis) {
            val arrival = arrivals.poll()
            val to = byEndpoint[arrival.outgoing.to] ?: continue
            val from = byEndpoint.getValue(arrival.from)
            val isLost = !to.isRunning || isPartitioned(from.record.failureDomain, to.record.failureDomain)
            if (!isLost) inject(to, arrival.outgoing.message)
        }
    }

    companion object {
        const val START_MILLIS = 1_000_000L
        const val TICK_MILLIS = 50L
        private const val PERCENT = 100
        private const val PORT = 7_000

        fun recordOf(
            name: String,
            incarnation: Long,
        ): NodeRecord {
            val domain = name.substringBefore('-')
            val number = name.substringAfter('-').toInt()
            val endpoint = Endpoint("10.0.${domain.first().code}.${number % 250}", PORT + number / 250)
            val target = TargetRecord(ServiceId("vitrina"), ReleaseId("vitrina@7"), 12, 100)
            return NodeRecord(
                node = NodeId(name),
                failureDomain = FailureDomainId(domain),
                incarnation = incarnation,
                status = NodeStatus.ALIVE,
                controlEndpoint = endpoint,
                peerCallEndpoint = endpoint,
                operatorEndpoint = endpoint,
                target = target,
            )
        }
    }
}
