package dev.baobabhollow.calls

import dev.baobabhollow.model.CallClass
import dev.baobabhollow.model.MemberId
import dev.baobabhollow.model.RouteId
import java.util.TreeMap

/**
 * Queue of tickets, ordered by rank and within a rank with lookups before uploads. Within these it is served
 * round-robin between members and between the routes of a member. Not thread-safe.
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

    /** Returns the number of tickets with the rank and class of [request] or with ones that are served before it. */
    fun countAhead(request: SlotRequest): Int = queues.headMap(keyOf(request), true).values.sumOf { it.size }

    /**
     * Removes the newest ticket of the member with most tickets, on its longest route, in the class that is served
     * last.
     */
    fun evict(): Ticket {
        val last = queues.descendingMap().values.first { it.size > 0 }
        return last.evict().also { size-- }
    }

    fun removeExpired(nowMillis: Long): List<Ticket> = removeIf { nowMillis >= it.request.deadlineMillis }

    /** Removes and returns the tickets that match [predicate]. */
    fun removeIf(predicate: (Ticket) -> Boolean): List<Ticket> {
        if (size == 0) return emptyList()
        return queues.values.flatMap { it.removeIf(predicate) }.also { size -= it.size }
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
        val (route, tickets) = routes.entries.first()
        val ticket = tickets.removeFirst()
        size--
        // Round-robin: the served route and member go to the end.
        routes.remove(route)
        if (tickets.isNotEmpty()) routes[route] = tickets
        members.remove(member)
        if (routes.isNotEmpty()) members[member] = routes
        return ticket
    }

    fun remove(ticket: Ticket): Boolean {
        val routes = members[ticket.request.member] ?: return false
        val tickets = routes[ticket.request.route] ?: return false
        if (!tickets.remove(ticket)) return false
        size--
        if (tickets.isEmpty()) routes.remove(ticket.request.route)
        if (routes.isEmpty()) members.remove(ticket.request.member)
        return true
    }

    fun evict(): Ticket {
        val longest = members.values.maxBy { routes -> routes.values.sumOf { it.size } }
        val ticket = longest.values.maxBy { it.size }.last()
        remove(ticket)
        return ticket
    }

    fun removeIf(predicate: (Ticket) -> Boolean): List<Ticket> {
        val removed =
            members.values
                .flatMap { it.values }
                .flatten()
                .filter(predicate)
        removed.forEach { remove(it) }
        return removed
    }
}
