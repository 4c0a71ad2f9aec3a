package dev.baobabhollow.calls

import dev.baobabhollow.model.CallClass
import dev.baobabhollow.model.MemberId
import dev.baobabhollow.model.RouteId
import dev.baobabhollow.model.TenantId
import java.util.TreeMap

/**
 * Queue of tickets, ordered by rank and within a rank with lookups before uploads. Within these it is served
 * round-robin between tenants, between the members of a tenant's calls and between the routes of a member. Calls
 * without a tenant are served like those of one tenant. A tenant below its floor in [shares] is served first. Not
 * thread-safe.
 */
internal class FairQueue(
    private val shares: TenantShares = TenantShares(),
) {
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
        queues.getOrPut(keyOf(ticket.request)) { ClassQueue(shares) }.add(ticket)
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

    /** Returns the number of tickets that are served before a new one for [request]. */
    fun countAhead(request: SlotRequest): Int {
        val key = keyOf(request)
        return queues.headMap(key).values.sumOf { it.size } + (queues[key]?.countAhead(request.tenant) ?: 0)
    }

    /**
     * Removes the newest ticket of the tenant with most tickets, of its member with most tickets and on that member's
     * longest route, in the class that is served last.
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

/** Tickets of one rank and class, served round-robin between tenants. */
private class ClassQueue(
    private val shares: TenantShares,
) {
    private val tenants = LinkedHashMap<TenantId?, TenantQueue>()
    val size: Int get() = tenants.values.sumOf { it.size }

    fun add(ticket: Ticket) = tenants.getOrPut(ticket.request.tenant) { TenantQueue() }.add(ticket)

    fun poll(): Ticket? {
        val tenant = nextTenant() ?: return null
        val queue = tenants.remove(tenant.key) ?: return null
        val ticket = queue.poll()
        if (queue.size > 0) tenants[tenant.key] = queue
        return ticket
    }

    private fun nextTenant(): Map.Entry<TenantId?, TenantQueue>? {
        if (tenants.size <= 1) return tenants.entries.firstOrNull()
        val belowFloor = tenants.entries.filter { shares.isBelowFloor(it.key) }.minByOrNull { shares.ratio(it.key) }
        return belowFloor ?: tenants.entries.first()
    }

    /** A tenant with n tickets gets its next turn after n + 1 turns of each other tenant, as far as these have calls. */
    fun countAhead(tenant: TenantId?): Int {
        val own = tenants[tenant]?.size ?: 0
        return tenants.entries.sumOf { (other, queue) -> if (other == tenant) own else minOf(queue.size, own + 1) }
    }

    fun remove(ticket: Ticket): Boolean {
        val queue = tenants[ticket.request.tenant] ?: return false
        val isRemoved = queue.remove(ticket)
        if (queue.size == 0) tenants.remove(ticket.request.tenant)
        return isRemoved
    }

    fun evict(): Ticket {
        val ticket = tenants.values.maxBy { it.size }.newestOfLongest()
        remove(ticket)
        return ticket
    }

    fun removeIf(predicate: (Ticket) -> Boolean): List<Ticket> {
        val removed = tenants.values.flatMap { it.matching(predicate) }
        removed.forEach { remove(it) }
        return removed
    }
}

/** Tickets of one tenant, served round-robin between members and between the routes of a member. */
private class TenantQueue {
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

    /** Returns the newest ticket of the member with most tickets, on its longest route. */
    fun newestOfLongest(): Ticket {
        val longest = members.values.maxBy { routes -> routes.values.sumOf { it.size } }
        return longest.values.maxBy { it.size }.last()
    }

    fun matching(predicate: (Ticket) -> Boolean): List<Ticket> =
        members.values
            .flatMap { it.values }
            .flatten()
            .filter(predicate)
}
