package dev.baobabhollow.calls

import dev.baobabhollow.model.CallClass
import dev.baobabhollow.model.MemberId
import dev.baobabhollow.model.RouteId

/**
 * Queues tickets: lookups before uploads, and within a class in turns between members and between the routes of a member.
 * Not safe for use by several threads.
 */
internal class FairQueue {
    private val lookups = ClassQueue()
    private val uploads = ClassQueue()

    val size: Int get() = lookups.size + uploads.size

    fun add(ticket: Ticket) = queueOf(ticket.request.callClass).add(ticket)

    fun remove(ticket: Ticket) = queueOf(ticket.request.callClass).remove(ticket)

    fun poll(uploadsAllowed: Boolean): Ticket? = lookups.poll() ?: if (uploadsAllowed) uploads.poll() else null

    fun countAhead(callClass: CallClass): Int = if (callClass == CallClass.LOOKUP) lookups.size else size

    /** Removes the newest ticket of the longest flow, from the uploads if there are any. */
    fun displace(): Ticket = if (uploads.size > 0) uploads.displace() else lookups.displace()

    fun removeExpired(nowMillis: Long): List<Ticket> =
        lookups.removeExpired(nowMillis) + uploads.removeExpired(nowMillis)

    private fun queueOf(callClass: CallClass) = if (callClass == CallClass.LOOKUP) lookups else uploads
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

    fun remove(ticket: Ticket) {
        val routes = members[ticket.request.member] ?: return
        val flow = routes[ticket.request.route] ?: return
        if (!flow.remove(ticket)) return
        size--
        if (flow.isEmpty()) routes.remove(ticket.request.route)
        if (routes.isEmpty()) members.remove(ticket.request.member)
    }

    fun displace(): Ticket {
        val longest = members.values.maxBy { routes -> routes.values.sumOf { it.size } }
        val ticket = longest.values.maxBy { it.size }.last()
        remove(ticket)
        return ticket
    }

    fun removeExpired(nowMillis: Long): List<Ticket> {
        val expired =
            members.values
                .flatMap { it.values }
                .flatten()
                .filter { nowMillis >= it.request.deadlineMillis }
        expired.forEach(::remove)
        return expired
    }
}
