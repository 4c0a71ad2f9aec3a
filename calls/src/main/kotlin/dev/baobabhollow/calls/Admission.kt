package dev.baobabhollow.calls

import dev.baobabhollow.model.CallClass
import dev.baobabhollow.model.MemberId
import dev.baobabhollow.model.RouteId

/** Says why a call did not get a slot. The request was not handed to the target. */
enum class Refusal {
    /** The queue is full or the call was displaced from it. */
    OVERLOADED,

    /** The expected wait would pass the deadline. */
    WAIT_TOO_LONG,

    /** The deadline has passed. */
    DEADLINE_PASSED,

    /** The target takes no new calls. */
    DRAINING,
}

/**
 * Asks for a slot until [deadlineMillis]. Calls of a lower [rank] are served first. An answer after [usefulUntilMillis] is
 * worth little, so such a call only waits while hardly any others do, unless it is of the most urgent rank.
 */
data class SlotRequest(
    val member: MemberId,
    val route: RouteId,
    val callClass: CallClass,
    val deadlineMillis: Long,
    val rank: Int = callClass.ordinal,
    val usefulUntilMillis: Long = deadlineMillis,
)

/**
 * Stands for one call at admission. [decided] is called exactly once unless the caller cancels first, with null when the
 * call holds a slot, on the thread that caused the decision and without any lock held.
 */
class Ticket internal constructor(
    val request: SlotRequest,
    internal val decided: (Refusal?) -> Unit,
) {
    internal var state = TicketState.WAITING
    internal var grantedMicros = 0L

    /** Point in time at which the call is refused if it is set aside as late. */
    internal var patientUntilMillis = Long.MAX_VALUE
}

internal enum class TicketState { WAITING, HOLDING, ENDED }

/**
 * Admits calls to one target on its owner node: never more than its slots at a time, with a short queue that puts lookups
 * before uploads and is fair between members and their routes. Safe for use by several threads.
 */
class Admission(
    private val settings: AdmissionSettings,
    slots: Int,
) {
    private val queue = FairQueue()

    /** Calls that will end too late to be worth much. They get the slots that no other call waits for. */
    private val late = FairQueue()
    private val rankShares = RankShares()
    private var slots = slots.coerceAtLeast(1)
    private var holding = 0
    private var holdingUploads = 0
    private var isDraining = false
    private var serviceMicros = settings.initialServiceMicros.toDouble()
    private val classServiceMicros = DoubleArray(CallClass.entries.size) { settings.initialServiceMicros.toDouble() }
    private val routeServiceMicros = HashMap<Pair<RouteId, CallClass>, Double>()

    /** Number of calls that hold a slot. */
    @get:Synchronized
    val inUse: Int get() = holding

    /** Number of calls that wait. */
    @get:Synchronized
    val waiting: Int get() = queue.size + late.size

    /** Number of slots that a new call could take at once. */
    @get:Synchronized
    val freeSlots: Int get() = if (isDraining || queue.size > 0) 0 else (slots - holding).coerceAtLeast(0)

    /** Calls that hold a slot or wait, in permille of the slots. */
    @get:Synchronized
    val loadPermille: Int get() = (holding + queue.size + late.size) * FULL_PERMILLE / slots

    /** Asks for a slot. [decided] gets null or a refusal, before this function returns or later. */
    fun submit(
        request: SlotRequest,
        nowMicros: Long,
        nowMillis: Long,
        decided: (Refusal?) -> Unit,
    ): Ticket {
        val ticket = Ticket(request, decided)
        val decisions = Decisions()
        synchronized(this) {
            val refusal = refusalOf(request, nowMillis)
            if (refusal != null) refuse(ticket, refusal, decisions) else enqueue(ticket, nowMillis, decisions)
            grant(nowMicros, nowMillis, decisions)
        }
        decisions.announce()
        return ticket
    }

    /**
     * Ends the call of [ticket], whether it waits or holds a slot; repeated calls have no effect. [isMeasured] tells whether
     * the time it held its slot is typical for the target.
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
                TicketState.WAITING -> if (!queue.remove(ticket)) late.remove(ticket)
                TicketState.HOLDING -> free(ticket, nowMicros, isMeasured)
                TicketState.ENDED -> return
            }
            ticket.state = TicketState.ENDED
            grant(nowMicros, nowMillis, decisions)
        }
        decisions.announce()
    }

    /** Changes the number of slots. Calls above a lower number finish. */
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

    /** Refuses waiting and new calls from now on. */
    fun drain() {
        val decisions = Decisions()
        synchronized(this) {
            isDraining = true
            while (true) {
                val ticket = queue.poll(uploadsAllowed = true) ?: late.poll(uploadsAllowed = true) ?: break
                refuse(ticket, Refusal.DRAINING, decisions)
            }
        }
        decisions.announce()
    }

    /** Takes calls again after [drain]. */
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
        if (holding + queue.size < slots) return null
        // An answer after the deadline is as useless as none, so the call's own time at the target counts too. A call that
        // finds a free slot always runs; else a single slow spell could refuse all calls that would show its end.
        val waitMicros = waitMicros(queue.countAhead(request) + 1) / rankShares.leftFor(request.rank)
        val endMillis = nowMillis + (waitMicros + ownMicros(request)) / MICROS_PER_MILLI
        if (endMillis > request.deadlineMillis) return Refusal.WAIT_TOO_LONG
        val isWaiting = !hasUsefulTime(request) || isUseful(request, waitMicros, nowMillis) || late.size < lateLimit()
        return if (isWaiting) null else Refusal.WAIT_TOO_LONG
    }

    private fun ownMicros(request: SlotRequest): Double =
        routeServiceMicros[request.route to request.callClass] ?: classServiceMicros[request.callClass.ordinal]

    /** Tells whether most calls like [request], started after [waitMicros], end while their answers are worth most. */
    private fun isUseful(
        request: SlotRequest,
        waitMicros: Double,
        nowMillis: Long,
    ): Boolean {
        val endMillis = nowMillis + (waitMicros + ownMicros(request) * SERVICE_TIME_MARGIN) / MICROS_PER_MILLI
        return endMillis <= request.usefulUntilMillis
    }

    /** The most urgent calls are often made for others that wait for their answers, and these fail without them. */
    private fun hasUsefulTime(request: SlotRequest) =
        request.rank > MOST_URGENT_RANK && request.usefulUntilMillis < request.deadlineMillis

    private fun lateLimit(): Int = slots * settings.lateQueuePermille / FULL_PERMILLE

    private fun waitMicros(ahead: Int): Double = ahead * serviceMicros / slots

    /** Returns the time in milliseconds after which a call that was refused now would probably find room. */
    @Synchronized
    fun estimatedWaitMillis(): Long = (waitMicros(queue.size + 1) / MICROS_PER_MILLI).toLong()

    private fun enqueue(
        ticket: Ticket,
        nowMillis: Long,
        decisions: Decisions,
    ) {
        queue.add(ticket)
        val limit = (slots * settings.queuePermille / FULL_PERMILLE).coerceAtLeast(1)
        val free = (slots - holding).coerceAtLeast(0)
        if (queue.size <= limit + free) return
        val expired = queue.removeExpired(nowMillis)
        expired.forEach { refuse(it, Refusal.DEADLINE_PASSED, decisions) }
        if (expired.isEmpty()) refuse(queue.displace(), Refusal.OVERLOADED, decisions)
    }

    private fun grant(
        nowMicros: Long,
        nowMillis: Long,
        decisions: Decisions,
    ) {
        setLateAside(nowMillis, decisions)
        val uploadSlots = (slots * settings.uploadSlotsPermille / FULL_PERMILLE).coerceAtLeast(1)
        while (holding < slots) {
            val isAllowed = holdingUploads < uploadSlots
            val ticket = queue.poll(isAllowed) ?: late.poll(isAllowed) ?: return
            if (nowMillis >= ticket.request.deadlineMillis) {
                refuse(ticket, Refusal.DEADLINE_PASSED, decisions)
                continue
            }
            rankShares.note(ticket.request.rank)
            holding++
            if (ticket.request.callClass == CallClass.UPLOAD) holdingUploads++
            ticket.state = TicketState.HOLDING
            ticket.grantedMicros = nowMicros
            decisions.add(ticket, null)
        }
    }

    /**
     * Sets calls aside whose answers can no longer be useful, also where calls of higher ranks keep them from their turn, and
     * refuses those that have waited for a spare slot for too long.
     */
    private fun setLateAside(
        nowMillis: Long,
        decisions: Decisions,
    ) {
        late.removeIf { nowMillis >= it.patientUntilMillis }.forEach { refuse(it, Refusal.WAIT_TOO_LONG, decisions) }
        for (ticket in queue.removeIf { hasUsefulTime(it.request) && !isUseful(it.request, 0.0, nowMillis) }) {
            if (late.size >= lateLimit().coerceAtLeast(1)) {
                refuse(ticket, Refusal.WAIT_TOO_LONG, decisions)
                continue
            }
            ticket.patientUntilMillis = nowMillis + (ticket.request.deadlineMillis - nowMillis) / PATIENCE_PARTS
            late.add(ticket)
        }
    }

    private fun free(
        ticket: Ticket,
        nowMicros: Long,
        isMeasured: Boolean,
    ) {
        holding--
        if (ticket.request.callClass == CallClass.UPLOAD) holdingUploads--
        val held = (nowMicros - ticket.grantedMicros).coerceAtLeast(0)
        if (!isMeasured) return
        val index = ticket.request.callClass.ordinal
        val key = ticket.request.route to ticket.request.callClass
        val ofRoute = routeServiceMicros[key] ?: classServiceMicros[index]
        serviceMicros += (held - serviceMicros) * SERVICE_TIME_WEIGHT
        classServiceMicros[index] += (held - classServiceMicros[index]) * SERVICE_TIME_WEIGHT
        routeServiceMicros[key] = ofRoute + (held - ofRoute) * SERVICE_TIME_WEIGHT
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

        /** Service times of one route differ by about a third. */
        const val SERVICE_TIME_MARGIN = 1.25

        /** A call that will be late is refused after this part of its time: slots that nobody else wants come at once or not. */
        const val PATIENCE_PARTS = 16
    }
}

/** Collects decisions under the lock of [Admission] to announce them without it. */
private class Decisions {
    private var tickets: ArrayList<Pair<Ticket, Refusal?>>? = null
    private var single: Ticket? = null
    private var singleRefusal: Refusal? = null

    fun add(
        ticket: Ticket,
        refusal: Refusal?,
    ) {
        if (single == null) {
            single = ticket
            singleRefusal = refusal
            return
        }
        val list = tickets ?: ArrayList<Pair<Ticket, Refusal?>>().also { tickets = it }
        list += ticket to refusal
    }

    fun announce() {
        single?.decided?.invoke(singleRefusal)
        tickets?.forEach { (ticket, refusal) -> ticket.decided(refusal) }
    }
}
