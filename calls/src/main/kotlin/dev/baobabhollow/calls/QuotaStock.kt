package dev.baobabhollow.calls

import dev.baobabhollow.model.FailureDomainId
import dev.baobabhollow.model.NodeId

/** Permission to send one request of the tenant [key], valid until [expiresMillis] on the monotonic clock. */
data class QuotaToken(
    val key: QuotaKey,
    val expiresMillis: Long,
)

/** Decision on one request. */
sealed interface QuotaDecision {
    /** The request may be sent. */
    data class Granted(
        val token: QuotaToken,
    ) : QuotaDecision

    /** The tenant is over its quota. A token is expected after [retryMillis]. */
    data class Denied(
        val retryMillis: Long,
    ) : QuotaDecision

    /** No allocator has answered, so it is not known whether the tenant is over its quota. */
    data class Unavailable(
        val retryMillis: Long,
    ) : QuotaDecision
}

/** Question to the allocator [to], which is answered with the same [id]. */
data class QuotaQuestion(
    val id: Int,
    val to: NodeId,
    val key: QuotaKey,
    val wanted: Int,
)

/** A request that waits for a token. [decide] is called once, on any thread, unless [cancel] was called before. */
class QuotaWaiter internal constructor(
    internal val key: QuotaKey,
    internal val untilMillis: Long,
    internal val decide: (QuotaDecision) -> Unit,
) {
    @Volatile
    internal var isCancelled = false

    /** Ends the wait, because the caller has left or its deadline has passed. */
    fun cancel() {
        isCancelled = true
    }
}

/**
 * The tokens that an entry node holds for the tenants of its callers. Asks the allocator of the own failure domain
 * first, in batches that fit the tenant's demand at this node, and those of other domains when that one has no tokens,
 * so that a tenant with callers in one domain gets its whole quota.
 *
 * [send] sends a question; its answer goes to [answer]. Thread-safe. Times are monotonic milliseconds. [send] and the
 * waiters' functions are called without the lock.
 */
class QuotaStock(
    private val settings: QuotaSettings,
    firstId: Int,
    private val send: (QuotaQuestion) -> Unit,
) {
    private class Pending(
        val question: QuotaQuestion,
        val domain: FailureDomainId,
        val sentMillis: Long,
    ) {
        var isRepeated = false
    }

    private val stocks = HashMap<QuotaKey, TenantStock>()
    private val pending = LinkedHashMap<Int, Pending>()
    private val silentUntil = HashMap<NodeId, Long>()
    private var nextId = firstId and MAX_ID
    private var nextSweepMillis = Long.MIN_VALUE

    @Volatile
    private var fleet: QuotaFleet? = null

    /** True while [advance] has to be called every [ADVANCE_MILLIS]. */
    val isAsking: Boolean @Synchronized get() = pending.isNotEmpty()

    /** Number of tenants that have sent requests through this node recently. */
    val size: Int @Synchronized get() = stocks.size

    /** Applies a fleet, which decides whom to ask. */
    @Synchronized
    fun updateFleet(fleet: QuotaFleet) {
        this.fleet = fleet
        silentUntil.keys.retainAll { node -> fleet.live.values.any { node in it } }
    }

    /**
     * Takes a token for a request of the tenant [key]. Returns the decision, or null if the request has to wait: then
     * [onWait] has received the waiter, and [decide] is called later.
     */
    fun take(
        key: QuotaKey,
        nowMillis: Long,
        onWait: (QuotaWaiter) -> Unit,
        decide: (QuotaDecision) -> Unit,
    ): QuotaDecision? =
        withEffects { effects ->
            sweep(nowMillis)
            val stock = stocks.getOrPut(key) { TenantStock(key) }
            stock.demand.record(nowMillis)
            val token = if (stock.waiters.isEmpty()) stock.take(nowMillis) else null
            if (token != null) {
                if (stock.isLow(nowMillis, settings.tokenLifeMillis)) ask(stock, nowMillis, effects)
                return@withEffects QuotaDecision.Granted(token)
            }
            if (stock.pendingId == null && nextDomain(stock, nowMillis) == null) {
                return@withEffects stock.refusal(nowMillis)
            }
            if (stock.waiters.size >= MAX_WAITERS) return@withEffects stock.refusal(nowMillis)
            val waiter = QuotaWaiter(key, nowMillis + MAX_WAIT_MILLIS, decide)
            onWait(waiter)
            stock.waiters.addLast(waiter)
            if (stock.pendingId == null) ask(stock, nowMillis, effects)
            null
        }

    /** Returns the [token] of a request that was refused, so that another request can use it until it expires. */
    fun giveBack(
        token: QuotaToken,
        nowMillis: Long,
    ) = withEffects { effects ->
        if (token.expiresMillis <= nowMillis) return@withEffects
        val stock = stocks.getOrPut(token.key) { TenantStock(token.key) }
        stock.add(1, token.expiresMillis)
        serve(stock, nowMillis, effects)
    }

    /** Applies the answer of the node [from] to the question [id]. Late and repeated answers are ignored. */
    fun answer(
        id: Int,
        from: NodeId,
        answer: QuotaAnswer,
        nowMillis: Long,
    ) = withEffects { effects ->
        val asked = pending[id]?.takeIf { it.question.to == from } ?: return@withEffects
        pending.remove(id)
        val stock = stocks[asked.question.key] ?: return@withEffects
        stock.pendingId = null
        // Counted from the question, so that a token expires in time however long its answer took.
        if (answer.granted > 0) stock.add(answer.granted, asked.sentMillis + settings.tokenLifeMillis)
        when {
            !answer.isAllocator -> stock.skip(asked.domain, nowMillis + NOT_ALLOCATOR_MILLIS)
            answer.granted < asked.question.wanted -> stock.close(asked.domain, nowMillis + answer.retryMillis)
        }
        proceed(stock, nowMillis, effects)
    }

    /** Repeats questions whose answers are late, skips allocators that do not answer, and ends waits that are too long. */
    fun advance(nowMillis: Long) =
        withEffects { effects ->
            val late = pending.values.filter { nowMillis >= it.sentMillis + REPEAT_MILLIS }
            for (asked in late) {
                if (nowMillis >= asked.sentMillis + SKIP_MILLIS) {
                    skipSilent(asked, nowMillis, effects)
                } else if (!asked.isRepeated) {
                    asked.isRepeated = true
                    effects.add { send(asked.question) }
                }
            }
        }

    private fun skipSilent(
        asked: Pending,
        nowMillis: Long,
        effects: MutableList<() -> Unit>,
    ) {
        pending.remove(asked.question.id)
        silentUntil[asked.question.to] = nowMillis + SILENT_MILLIS
        val stock = stocks[asked.question.key] ?: return
        stock.pendingId = null
        proceed(stock, nowMillis, effects)
    }

    /** Serves the waiting requests, asks for those that remain, and refuses them if there is nobody to ask. */
    private fun proceed(
        stock: TenantStock,
        nowMillis: Long,
        effects: MutableList<() -> Unit>,
    ) {
        serve(stock, nowMillis, effects)
        if (stock.waiters.isEmpty() || stock.pendingId != null) return
        if (ask(stock, nowMillis, effects)) return
        val refusal = stock.refusal(nowMillis)
        while (stock.waiters.isNotEmpty()) decide(stock.waiters.removeFirst(), refusal, effects)
    }

    private fun serve(
        stock: TenantStock,
        nowMillis: Long,
        effects: MutableList<() -> Unit>,
    ) {
        stock.waiters.removeIf { it.isCancelled }
        while (stock.waiters.isNotEmpty()) {
            val token = stock.take(nowMillis) ?: break
            decide(stock.waiters.removeFirst(), QuotaDecision.Granted(token), effects)
        }
        while (stock.waiters.isNotEmpty() && stock.waiters.first().untilMillis <= nowMillis) {
            decide(stock.waiters.removeFirst(), stock.refusal(nowMillis), effects)
        }
    }

    private fun decide(
        waiter: QuotaWaiter,
        decision: QuotaDecision,
        effects: MutableList<() -> Unit>,
    ) {
        effects.add { waiter.decide(decision) }
    }

    /** Asks for tokens for the waiting requests and those expected soon. Returns false if there is nobody to ask. */
    private fun ask(
        stock: TenantStock,
        nowMillis: Long,
        effects: MutableList<() -> Unit>,
    ): Boolean {
        if (stock.pendingId != null) return true
        val domain = nextDomain(stock, nowMillis) ?: return false
        val node = fleet?.allocatorOf(stock.key, domain) ?: return false
        val wanted = stock.wanted(nowMillis, settings.tokenLifeMillis)
        val question = QuotaQuestion(nextId, node, stock.key, wanted)
        nextId = (nextId + 1) and MAX_ID
        stock.pendingId = question.id
        pending[question.id] = Pending(question, domain, nowMillis)
        effects.add { send(question) }
        return true
    }

    private fun nextDomain(
        stock: TenantStock,
        nowMillis: Long,
    ): FailureDomainId? {
        val fleet = fleet ?: return null
        if (pending.size > MAX_PENDING) return null
        return fleet.domainsFor(stock.key).firstOrNull { domain ->
            if (!stock.isOpen(domain, nowMillis)) return@firstOrNull false
            val node = fleet.allocatorOf(stock.key, domain)
            node != null && (silentUntil[node] ?: nowMillis) <= nowMillis
        }
    }

    /** Removes the stocks of tenants that have sent nothing for a while, so that memory follows the present demand. */
    private fun sweep(nowMillis: Long) {
        if (nowMillis < nextSweepMillis) return
        nextSweepMillis = nowMillis + SWEEP_MILLIS
        stocks.values.removeIf { it.pendingId == null && it.waiters.isEmpty() && it.isIdle(nowMillis) }
    }

    private inline fun <T> withEffects(block: (MutableList<() -> Unit>) -> T): T {
        val effects = ArrayList<() -> Unit>(0)
        val result = synchronized(this) { block(effects) }
        effects.forEach { it() }
        return result
    }

    /** Contains the period of [advance]. */
    companion object {
        /** Period at which [advance] is called, in milliseconds. */
        const val ADVANCE_MILLIS = 20L

        /** A round trip between failure domains takes 3 ms; a node that was busy answers later. */
        private const val REPEAT_MILLIS = 30L
        private const val SKIP_MILLIS = 100L

        /** A killed allocator is taken for dead after some seconds; until then one request a second waits for it. */
        private const val SILENT_MILLIS = 1_000L
        private const val NOT_ALLOCATOR_MILLIS = 200L

        /** Three allocators that do not answer, one after the other. */
        private const val MAX_WAIT_MILLIS = 300L
        private const val MAX_WAITERS = 512

        /** A question has two bytes for its number, which must not be used twice at once. */
        private const val MAX_ID = 0xFFFF
        private const val MAX_PENDING = 16_384
        private const val SWEEP_MILLIS = 5_000L
    }
}
