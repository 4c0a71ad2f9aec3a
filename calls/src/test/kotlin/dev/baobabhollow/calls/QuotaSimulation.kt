package dev.baobabhollow.calls

import dev.baobabhollow.membership.FleetView
import dev.baobabhollow.model.FailureDomainId
import dev.baobabhollow.model.NodeId
import dev.baobabhollow.model.NodeRecord
import java.util.PriorityQueue
import kotlin.math.ln
import kotlin.random.Random

/**
 * Fleet of nodes with allocators and stocks in virtual time. Messages take [delayMillis], are lost with [lossShare] and
 * do not pass between domains of which one is in [cutOff].
 */
internal class QuotaSimulation(
    val random: Random,
    nodesPerDomain: List<Int>,
    val settings: QuotaSettings = QuotaSettings(),
) {
    private class Event(
        val atMillis: Long,
        val order: Long,
        val run: () -> Unit,
    )

    /** One node. A restart replaces everything in memory. */
    inner class Member(
        val record: NodeRecord,
    ) {
        var isUp = true
        var incarnation = 0
        val hidden = mutableSetOf<NodeId>()
        lateinit var tracker: QuotaFleetTracker
        lateinit var allocator: QuotaAllocator
        lateinit var stock: QuotaStock

        init {
            clear()
        }

        fun clear() {
            incarnation++
            hidden.clear()
            tracker = QuotaFleetTracker(settings, record.node, record.failureDomain, nowMillis)
            allocator = QuotaAllocator(settings).apply { updateLimits(limits) }
            stock = QuotaStock(settings, random.nextInt()) { question(this, it) }
        }

        fun see(nodes: Collection<NodeRecord>) {
            val view = FleetView(record.node, nodes.associateBy { it.node }, 1)
            val fleet = tracker.update(view, nowMillis)
            allocator.updateFleet(fleet)
            stock.updateFleet(fleet)
        }
    }

    var nowMillis = 0L
        private set
    private var order = 0L
    private val events = PriorityQueue<Event>(compareBy({ it.atMillis }, { it.order }))
    var limits: Map<QuotaKey, QuotaLimit> = emptyMap()
    var lossShare = 0.0
    var delayMillis: (Boolean) -> Long = { isSameDomain -> if (isSameDomain) 1 else 2 }
    val cutOff = mutableSetOf<FailureDomainId>()
    val admitted = HashMap<QuotaKey, MutableList<Long>>()

    /** Refused requests of tenants that had sent no more than rate * window + burst in the window before. */
    val refusedWithinQuota = HashMap<QuotaKey, Int>()
    private val offered = HashMap<QuotaKey, ArrayDeque<Long>>()
    var unavailable = 0
    var questions = 0
    var longestWaitMillis = 0L
    val members =
        nodesPerDomain.flatMapIndexed { domain, count ->
            List(count) { Member(node("n$domain-$it", domain = "d$domain")) }
        }

    fun at(
        millis: Long,
        run: () -> Unit,
    ) {
        events.add(Event(millis, order++, run))
    }

    fun after(
        millis: Long,
        run: () -> Unit,
    ) = at(nowMillis + millis, run)

    fun runUntil(millis: Long) {
        while (events.isNotEmpty() && events.peek().atMillis <= millis) {
            val event = events.poll()
            nowMillis = event.atMillis
            event.run()
        }
        nowMillis = millis
    }

    fun everybodySeesAll() = members.forEach { it.see(members.map(Member::record)) }

    fun applyLimits(next: Map<QuotaKey, QuotaLimit>) {
        limits = next
        members.forEach { it.allocator.updateLimits(next) }
    }

    /** Lets callers send [perSecond] requests of [key] at random times to random nodes of [at], until [untilMillis]. */
    fun load(
        key: QuotaKey,
        perSecond: Double,
        untilMillis: Long,
        at: List<Member> = members,
    ) {
        val pause = (-ln(1 - random.nextDouble()) / perSecond * 1_000).toLong()
        after(pause) {
            if (nowMillis > untilMillis) return@after
            val member = at[random.nextInt(at.size)]
            if (member.isUp) request(member, key)
            load(key, perSecond, untilMillis, at)
        }
    }

    fun request(
        member: Member,
        key: QuotaKey,
        onToken: (QuotaToken) -> Unit = {},
    ) {
        val incarnation = member.incarnation
        val startMillis = nowMillis
        val limit = limits.getValue(key)
        val sent = offered.getOrPut(key) { ArrayDeque() }.apply { addLast(nowMillis) }
        while (sent.first() <= nowMillis - settings.windowSeconds * 1_000) sent.removeFirst()
        val isWithin = sent.size <= limit.ratePerSecond * settings.windowSeconds + limit.burst
        val decide: (QuotaDecision) -> Unit = { decision ->
            longestWaitMillis = maxOf(longestWaitMillis, nowMillis - startMillis)
            when (decision) {
                is QuotaDecision.Granted -> {
                    if (member.incarnation == incarnation) admitted.getOrPut(key) { mutableListOf() }.add(nowMillis)
                    onToken(decision.token)
                }

                is QuotaDecision.Denied -> {
                    if (isWithin) refusedWithinQuota.merge(key, 1, Int::plus)
                }

                is QuotaDecision.Unavailable -> {
                    unavailable++
                    if (isWithin) refusedWithinQuota.merge(key, 1, Int::plus)
                }
            }
        }
        member.stock.take(key, nowMillis, {}, decide)?.let(decide)
    }

    private fun question(
        from: Member,
        question: QuotaQuestion,
    ) {
        val stock = from.stock
        val to = members.first { it.record.node == question.to }
        if (to === from) return answer(from, stock, question, to)
        questions++
        scheduleAdvance(from, stock)
        if (isLost(from, to)) return
        after(delayMillis(from.record.failureDomain == to.record.failureDomain)) {
            if (to.isUp) answer(from, stock, question, to)
        }
    }

    private fun answer(
        from: Member,
        stock: QuotaStock,
        question: QuotaQuestion,
        to: Member,
    ) {
        val answer = to.allocator.ask(question.key, question.wanted, nowMillis)
        val deliver = {
            if (from.isUp) stock.answer(question.id, question.to, answer, nowMillis)
        }
        if (to === from) return deliver()
        if (isLost(to, from)) return
        after(delayMillis(from.record.failureDomain == to.record.failureDomain), deliver)
    }

    private fun scheduleAdvance(
        member: Member,
        stock: QuotaStock,
    ) {
        after(QuotaStock.ADVANCE_MILLIS) {
            if (member.stock !== stock || !member.isUp) return@after
            stock.advance(nowMillis)
            if (stock.isAsking) scheduleAdvance(member, stock)
        }
    }

    private fun isLost(
        from: Member,
        to: Member,
    ): Boolean {
        val a = from.record.failureDomain
        val b = to.record.failureDomain
        return (a != b && (a in cutOff || b in cutOff)) || random.nextDouble() < lossShare
    }

    /** Returns the highest share of the bound that any window of the requests of [key] reached. */
    fun worstUse(
        key: QuotaKey,
        fromMillis: Long = 0,
        limit: QuotaLimit = limits.getValue(key),
    ): Double {
        val window = (settings.windowSeconds * 1_000).toLong()
        val bound =
            (limit.ratePerSecond * settings.windowSeconds + limit.burst) * (1 + settings.overShare) + settings.slack
        val times = admitted[key].orEmpty().filter { it >= fromMillis }
        var first = 0
        var most = 0
        times.forEachIndexed { last, time ->
            while (times[first] <= time - window) first++
            most = maxOf(most, last - first + 1)
        }
        return most / bound
    }

    fun admittedShare(key: QuotaKey): Double {
        val count = admitted[key].orEmpty().size
        val all = count + (refusedWithinQuota[key] ?: 0)
        return if (all == 0) 1.0 else count.toDouble() / all
    }
}
