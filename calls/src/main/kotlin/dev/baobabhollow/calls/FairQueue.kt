package dev.baobabhollow.calls

import dev.baobabhollow.model.CallClass
import dev.baobabhollow.model.MemberId
import dev.baobabhollow.model.RouteId
import java.util.TreeMap

/**
 * Queues tickets by rank, within a rank lookups before uploads, and among these in turns between members and between the
 * routes of a member. Not safe for use by several threads.
 */
internal class FairQueue {
    private data class QueueKey(
        val rank: Int,
        val callClass: CallClass,
    ) : Comparable<QueueKey> {
        override fun compareTo(other: QueueKey): Int = compareValuesBy(this, other, { it.rank }, { it.callClass })
    }

    private val queues = TreeMap<QueueKey, ClassQueue>()

    var size = 0
        private set

    fun add(ticket: Ticket) {
        queues.getOrPut(keyOf(ticket.request)) { ClassQueue() }.add(ticket)
        size++
    }

    fun remove(ticket: Ticket): Boolean {
        val isRemoved = queues[keyOf(ticket.request)]?.remove(ticket) == true
        if (isRemoved) size--
        return isRemoved
    }

    fun poll(uploadsAllowed: Boolean): Ticket? {
        for ((key, queue) in queues) {
            if (key.callClass == CallClass.UPLOAD && !uploadsAllowed) continue
            return queue.poll()?.also { size-- } ?: continue
        }
        return null
    }

    /** Counts the tickets that are served before a new one for [request]. */
    fun countAhead(request: SlotRequest): Int = queues.headMap(keyOf(request), true).values.sumOf { it.size }

    /** Removes the newest ticket of the longest flow of the last rank. */
    fun displace(): Ticket {
        val last = queues.descendingMap().values.first { it.size > 0 }
        return last.displace().also { size-- }
    }

    fun removeExpired(nowMillis: Long): List<Ticket> = removeIf { nowMillis >= it.request.deadlineMillis }

    /** Removes and returns the tickets for which [isOver]. */
    fun removeIf(isOver: (Ticket) -> Boolean): List<Ticket> {
        if (size == 0) return emptyList()
        return queues.values.flatMap { it.removeIf(isOver) }.also { size -= it.size }
    }

    private fun keyOf(request: SlotRequest) = QueueKey(request.rank, request.callClass)
}

private class ClassQueue {
    private val members = LinkedHashMap<MemberId, LinkedHashMap<RouteId, ArrayDeque<Ticket>>>()
    var size = 0
        private set

    fun add(ticket: Ticket) {
        val routes = members.getOrPut(ticket.request.member) { LinkedHashMap() }
        routes.getOrPut(ticket.request.route) { ArrayDeque() }.addLast(ticket)
        size++
    }

    fun poll(): Ticket? {
        val (member, routes) = members.entries.firstOrNull() ?: return null
        val (route, flow) = routes.entries.first()
        val ticket = flow.removeFirst()
        size--
        // Flows that were served go to the end of the order.
        routes.remove(route)
        if (flow.isNotEmpty()) routes[route] = flow
        members.remove(member)
        if (routes.isNotEmpty()) members[member] = routes
        return ticket
    }

    fun remove(ticket: Ticket): Boolean {
        val routes = members[ticket.request.member] ?: return false
        val flow = routes[ticket.request.route] ?: return false
        if (!flow.remove(ticket)) return false
        size--
        if (flow.isEmpty()) routes.remove(ticket.request.route)
        if (routes.isEmpty()) members.remove(ticket.request.member)
        return true
    }

    fun displace(): Ticket {
        val longest = members.values.maxBy { routes -> routes.values.sumOf { it.size } }
        val ticket = longest.values.maxBy { it.size }.last()
        remove(ticket)
        return ticket
    }

    fun removeIf(isOver: (Ticket) -> Boolean): List<Ticket> {
        val expired =
            members.values
                .flatMap { it.values }
                .flatten()
                .filter(isOver)
        expired.forEach { remove(it) }
        return expired
    }
}
