package dev.baobabhollow.calls

import dev.baobabhollow.model.CallClass
import dev.baobabhollow.model.MemberId
import dev.baobabhollow.model.RouteId
import dev.baobabhollow.model.TenantId

/** Reason for which a call got no slot. The request was not sent to the target. */
enum class Refusal {
    /** The queue is full or the call was evicted from it. */
    OVERLOADED,

    /**
     * The call would probably end after its deadline, or after its useful time while the queue for such calls is full
     * or has kept it for too long.
     */
    WAIT_TOO_LONG,

    /** The deadline has passed. */
    DEADLINE_PASSED,

    /** The owner node accepts no new calls for the target. */
    DRAINING,

    /** The target is cold and gets as many calls as it can handle. */
    COLD_TARGET,
}

/**
 * Request for a slot, valid until [deadlineMillis]. Calls of a lower [rank] are served first. A response after
 * [usefulUntilMillis], a soft deadline, is worth little. A call that would miss it waits only while few such calls do,
 * unless it has the most urgent rank. Times are epoch milliseconds.
 */
data class SlotRequest(
    val member: MemberId,
    val route: RouteId,
    val callClass: CallClass,
    val deadlineMillis: Long,
    val rank: Int = callClass.ordinal,
    val usefulUntilMillis: Long = deadlineMillis,
    val tenant: TenantId? = null,
)

/**
 * Call that waits for a slot or holds one. [onDecision] is called exactly once unless the caller cancels first, on the
 * thread that caused the decision and without any lock held. Its argument is null if the call holds a slot.
 */
class Ticket internal constructor(
    val request: SlotRequest,
    internal val onDecision: (Refusal?) -> Unit,
) {
    internal var state = TicketState.WAITING
    internal var grantedMicros = 0L

    /** Time at which the call is refused if it is still in the queue of late calls. */
    internal var lateUntilMillis = Long.MAX_VALUE
}

internal enum class TicketState { WAITING, HOLDING, ENDED }

/**
 * Limits concurrent calls to one target on its owner node to the target's slots. Further calls wait in a bounded queue
 * that serves lookups before uploads and is fair between tenants, members and the routes of a member. Thread-safe.
 */
class Admission(
    private val settings: AdmissionSettings,
    slots: Int,
    private val coldLimiter: ColdTargetLimiter? = null,
) {
    private val tenantShares = TenantShares()
    private val queue = FairQueue(tenantShares)

    /** Calls that will end after their useful time. They get slots only while [queue] has no call for them. */
    private val lateQueue = FairQueue()
    private val rankShares = RankShares()
    private var slots = slots.coerceAtLeast(1)
    private var slotsInUse = 0
    private var uploadsInUse = 0
    private var isDraining = false
    private var serviceMicros = settings.initialServiceMicros.toDouble()
    private val classServiceMicros = DoubleArray(CallClass.entries.size) { settings.initialServiceMicros.toDouble() }
    private val routeServiceMicros = HashMap<Pair<RouteId, CallClass>, Double>()

    /** Number of calls that hold a slot. */
    @get:Synchronized
    val inUse: Int get() = slotsInUse

    /** Number of calls that wait for a slot. */
    @get:Synchronized
    val waiting: Int get() = queue.size + lateQueue.size

    /** Number of slots that new calls could take without waiting. */
    @get:Synchronized
    val freeSlots: Int get() = if (isDraining || queue.size > 0) 0 else (slots - slotsInUse).coerceAtLeast(0)

    /** Number of calls that hold a slot or wait for one, in permille of the slots. */
    @get:Synchronized
    val loadPermille: Int get() = (slotsInUse + queue.size + lateQueue.size) * FULL_PERMILLE / slots

    /** Requests a slot. [onDecision] gets null or a refusal, before this function returns or later. */
    fun submit(
        request: SlotRequest,
        nowMicros: Long,
        nowMillis: Long,
        onDecision: (Refusal?) -> Unit,
    ): Ticket {
        val ticket = Ticket(request, onDecision)
        val decisions = Decisions()
        synchronized(this) {
            tenantShares.recordCall(request.tenant)
            val refusal = refusalOf(request, nowMillis)
            if (refusal != null) refuse(ticket, refusal, decisions) else enqueue(ticket, nowMillis, decisions)
            grant(nowMicros, nowMillis, decisions)
        }
        decisions.announce()
        return ticket
    }

    /**
     * Ends the call of [ticket], whether it waits or holds a slot. Has no effect on a call that has ended. [isMeasured]
     * is true if the time for which the call held its slot counts as a service time of the target.
     */
    fun end(
        ticket: Ticket,
        nowMicros: Long,
        nowMillis: Long,
        isMeasured: Boolean = true,
    ) {
        val decisions = Decisions()
        synchronized(this) {
            when (ticket.state) {
                TicketState.WAITING -> if (!queue.remove(ticket)) lateQueue.remove(ticket)
                TicketState.HOLDING -> releaseSlot(ticket, nowMicros, isMeasured)
                TicketState.ENDED -> return
            }
            ticket.state = TicketState.ENDED
            grant(nowMicros, nowMillis, decisions)
        }
        decisions.announce()
    }

    /** Changes the number of slots. Calls that already hold a slot keep it. */
    fun resize(
        slots: Int,
        nowMicros: Long,
        nowMillis: Long,
    ) {
        val decisions = Decisions()
        synchronized(this) {
            this.slots = slots.coerceAtLeast(1)
            grant(nowMicros, nowMillis, decisions)
        }
        decisions.announce()
    }

    /**
     * Grants slots to waiting calls after the limit for a cold target may have changed, and refuses those that would now
     * wait too long.
     */
    fun reconsider(
        nowMicros: Long,
        nowMillis: Long,
    ) {
        val decisions = Decisions()
        synchronized(this) {
            while (queue.size > 0 && coldLimiter?.refuses(queue.size + lateQueue.size - 1, nowMillis) == true) {
                refuse(queue.evict(), Refusal.COLD_TARGET, decisions)
            }
            grant(nowMicros, nowMillis, decisions)
        }
        decisions.announce()
    }

    /** Takes a free slot for a health probe, and returns false if there is none. */
    @Synchronized
    fun tryHold(): Boolean = (!isDraining && slotsInUse < slots).also { if (it) slotsInUse++ }

    /** Frees a slot of [tryHold]. */
    @Synchronized
    fun releaseHold() {
        slotsInUse--
    }

    /** Refuses all waiting calls and, until [resume], all new ones. */
    fun drain() {
        val decisions = Decisions()
        synchronized(this) {
            isDraining = true
            while (true) {
                val ticket = queue.poll(uploadsAllowed = true) ?: lateQueue.poll(uploadsAllowed = true) ?: break
                refuse(ticket, Refusal.DRAINING, decisions)
            }
        }
        decisions.announce()
    }

    /** Accepts calls again after [drain]. */
    @Synchronized
    fun resume() {
        isDraining = false
    }

    private fun refusalOf(
        request: SlotRequest,
        nowMillis: Long,
    ): Refusal? {
        if (isDraining) return Refusal.DRAINING
        if (nowMillis >= request.deadlineMillis) return Refusal.DEADLINE_PASSED
        if (coldLimiter?.refuses(queue.size + lateQueue.size, nowMillis) == true) return Refusal.COLD_TARGET
        if (slotsInUse + queue.size < slots) return null
        // The service time counts as well, since a response after the deadline is useless. A call that finds a free
        // slot always runs: otherwise, after a slow period, all calls could be refused and no new service time be
        // measured.
        val waitMicros = waitMicros(queue.countAhead(request) + 1) / rankShares.remainingShare(request.rank)
        val endMillis = nowMillis + (waitMicros + expectedServiceMicros(request)) / MICROS_PER_MILLI
        if (endMillis > request.deadlineMillis) return Refusal.WAIT_TOO_LONG
        val mayWait =
            !hasUsefulLimit(request) || endsInUsefulTime(request, waitMicros, nowMillis) || lateQueue.size < lateLimit()
        return if (mayWait) null else Refusal.WAIT_TOO_LONG
    }

    private fun expectedServiceMicros(request: SlotRequest): Double =
        routeServiceMicros[request.route to request.callClass] ?: classServiceMicros[request.callClass.ordinal]

    /** True if most calls like [request] that start after [waitMicros] end within their useful time. */
    private fun endsInUsefulTime(
        request: SlotRequest,
        waitMicros: Double,
        nowMillis: Long,
    ): Boolean {
        val endMillis =
            nowMillis + (waitMicros + expectedServiceMicros(request) * SERVICE_TIME_MARGIN) / MICROS_PER_MILLI
        return endMillis <= request.usefulUntilMillis
    }

    /** Calls of the most urgent rank are exempt: other calls often wait for their responses and fail without them. */
    private fun hasUsefulLimit(request: SlotRequest) =
        request.rank > MOST_URGENT_RANK && request.usefulUntilMillis < request.deadlineMillis

    private fun lateLimit(): Int = slots * settings.lateQueuePermille / FULL_PERMILLE

    private fun waitMicros(ahead: Int): Double = ahead * serviceMicros / slots

    /** Returns the estimated wait of a new call, in milliseconds, after which a refused one may be retried. */
    @Synchronized
    fun estimatedWaitMillis(): Long = (waitMicros(queue.size + 1) / MICROS_PER_MILLI).toLong()

    private fun enqueue(
        ticket: Ticket,
        nowMillis: Long,
        decisions: Decisions,
    ) {
        queue.add(ticket)
        val limit = (slots * settings.queuePermille / FULL_PERMILLE).coerceAtLeast(1)
        val free = (slots - slotsInUse).coerceAtLeast(0)
        if (queue.size <= limit + free) return
        val expired = queue.removeExpired(nowMillis)
        expired.forEach { refuse(it, Refusal.DEADLINE_PASSED, decisions) }
        if (expired.isEmpty()) refuse(queue.evict(), Refusal.OVERLOADED, decisions)
    }

    private fun grant(
        nowMicros: Long,
        nowMillis: Long,
        decisions: Decisions,
    ) {
        moveLateCalls(nowMillis, decisions)
        val uploadSlots = (slots * settings.uploadSlotsPermille / FULL_PERMILLE).coerceAtLeast(1)
        while (slotsInUse < slots) {
            val isAllowed = uploadsInUse < uploadSlots
            if (coldLimiter?.allows(nowMillis) == false) return
            val ticket = queue.poll(isAllowed) ?: lateQueue.poll(isAllowed) ?: return
            if (nowMillis >= ticket.request.deadlineMillis) {
                refuse(ticket, Refusal.DEADLINE_PASSED, decisions)
                continue
            }
            coldLimiter?.take(nowMillis)
            rankShares.record(ticket.request.rank)
            tenantShares.recordGrant(ticket.request.tenant)
            slotsInUse++
            if (ticket.request.callClass == CallClass.UPLOAD) uploadsInUse++
            ticket.state = TicketState.HOLDING
            ticket.grantedMicros = nowMicros
            decisions.add(ticket, null)
        }
    }

    /**
     * Moves calls that can no longer end within their useful time to the queue of late calls, wherever they stand in
     * their own queue, and refuses late calls that have waited too long.
     */
    private fun moveLateCalls(
        nowMillis: Long,
        decisions: Decisions,
    ) {
        lateQueue.removeIf { nowMillis >= it.lateUntilMillis }.forEach { refuse(it, Refusal.WAIT_TOO_LONG, decisions) }
        for (ticket in queue.removeIf { hasUsefulLimit(it.request) && !endsInUsefulTime(it.request, 0.0, nowMillis) }) {
            if (lateQueue.size >= lateLimit().coerceAtLeast(1)) {
                refuse(ticket, Refusal.WAIT_TOO_LONG, decisions)
                continue
            }
            ticket.lateUntilMillis = nowMillis + (ticket.request.deadlineMillis - nowMillis) / LATE_WAIT_DIVISOR
            lateQueue.add(ticket)
        }
    }

    private fun releaseSlot(
        ticket: Ticket,
        nowMicros: Long,
        isMeasured: Boolean,
    ) {
        slotsInUse--
        if (ticket.request.callClass == CallClass.UPLOAD) uploadsInUse--
        val heldMicros = (nowMicros - ticket.grantedMicros).coerceAtLeast(0)
        if (!isMeasured) return
        val index = ticket.request.callClass.ordinal
        val key = ticket.request.route to ticket.request.callClass
        val routeMicros = routeServiceMicros[key] ?: classServiceMicros[index]
        serviceMicros += (heldMicros - serviceMicros) * SERVICE_TIME_WEIGHT
        classServiceMicros[index] += (heldMicros - classServiceMicros[index]) * SERVICE_TIME_WEIGHT
        routeServiceMicros[key] = routeMicros + (heldMicros - routeMicros) * SERVICE_TIME_WEIGHT
    }

    private fun refuse(
        ticket: Ticket,
        refusal: Refusal,
        decisions: Decisions,
    ) {
        ticket.state = TicketState.ENDED
        decisions.add(ticket, refusal)
    }

    private companion object {
        const val FULL_PERMILLE = 1_000
        const val MICROS_PER_MILLI = 1_000.0
        const val SERVICE_TIME_WEIGHT = 0.05
        const val MOST_URGENT_RANK = 0

        /** Factor on the mean service time that covers most calls: those of one route differ by about a third. */
        const val SERVICE_TIME_MARGIN = 1.25

        /**
         * A late call is refused after this fraction of its remaining time: if a slot that no other call waits for
         * becomes free at all, it does so soon.
         */
        const val LATE_WAIT_DIVISOR = 16
    }
}
