package dev.baobabhollow.calls

import dev.baobabhollow.model.FailureDomainId
import kotlin.math.exp

/** Rate of the requests of one tenant at one node, as an exponentially decaying average. */
internal class QuotaDemand {
    private var perSecond = 0.0
    private var atMillis = 0L

    fun record(nowMillis: Long) {
        perSecond = rate(nowMillis) + 1
        atMillis = nowMillis
    }

    /** Returns the requests a second, averaged over about one second. */
    fun rate(nowMillis: Long): Double {
        val elapsed = (nowMillis - atMillis).coerceAtLeast(0)
        return if (perSecond == 0.0) 0.0 else perSecond * exp(-elapsed / DECAY_MILLIS)
    }

    private companion object {
        const val DECAY_MILLIS = 1_000.0
    }
}

/** Tokens and waiting requests of the tenant [key] at one entry node. Not thread-safe. */
internal class TenantStock(
    val key: QuotaKey,
) {
    private class Lot(
        var tokens: Int,
        val expiresMillis: Long,
    )

    val waiters = ArrayDeque<QuotaWaiter>()
    val demand = QuotaDemand()

    /** Number of the question that waits for an answer, or null. */
    var pendingId: Int? = null

    /** Tokens in the order of their expiry. */
    private val lots = ArrayDeque<Lot>()

    /** Times until which the buckets of failure domains are known to be empty. */
    private val closedUntil = HashMap<FailureDomainId, Long>()

    /** Times until which failure domains are not asked for another reason. */
    private val skippedUntil = HashMap<FailureDomainId, Long>()

    fun add(
        tokens: Int,
        expiresMillis: Long,
    ) {
        val position = lots.indexOfFirst { it.expiresMillis > expiresMillis }
        lots.add(if (position < 0) lots.size else position, Lot(tokens, expiresMillis))
    }

    /** Takes the token that expires first, or returns null if there is none. */
    fun take(nowMillis: Long): QuotaToken? {
        removeExpired(nowMillis)
        val lot = lots.firstOrNull() ?: return null
        if (--lot.tokens == 0) lots.removeFirst()
        return QuotaToken(key, lot.expiresMillis)
    }

    /** True if the tokens last only for about the time of a question, and demand is high enough to ask in advance. */
    fun isLow(
        nowMillis: Long,
        lifeMillis: Long,
    ): Boolean {
        val rate = demand.rate(nowMillis)
        if (expected(rate, lifeMillis) < 1 || pendingId != null) return false
        val usable = lots.filter { it.expiresMillis > nowMillis + LEAD_MILLIS }.sumOf { it.tokens }
        return usable < rate * LEAD_MILLIS / MILLIS_PER_SECOND
    }

    /** Returns the number of tokens to ask for. */
    fun wanted(
        nowMillis: Long,
        lifeMillis: Long,
    ): Int = (waiters.size + expected(demand.rate(nowMillis), lifeMillis)).coerceIn(1, MAX_WANTED)

    fun close(
        domain: FailureDomainId,
        untilMillis: Long,
    ) {
        closedUntil[domain] = untilMillis
    }

    fun skip(
        domain: FailureDomainId,
        untilMillis: Long,
    ) {
        skippedUntil[domain] = untilMillis
    }

    fun isOpen(
        domain: FailureDomainId,
        nowMillis: Long,
    ): Boolean = (closedUntil[domain] ?: nowMillis) <= nowMillis && (skippedUntil[domain] ?: nowMillis) <= nowMillis

    /** Returns the refusal of a request for which there are no tokens: over the quota only if an allocator said so. */
    fun refusal(nowMillis: Long): QuotaDecision {
        val next = closedUntil.values.filter { it > nowMillis }.minOrNull()
        return if (next == null) {
            QuotaDecision.Unavailable(UNAVAILABLE_MILLIS)
        } else {
            QuotaDecision.Denied(next - nowMillis)
        }
    }

    fun isIdle(nowMillis: Long): Boolean {
        removeExpired(nowMillis)
        return lots.isEmpty() && demand.rate(nowMillis) < IDLE_RATE
    }

    private fun expected(
        rate: Double,
        lifeMillis: Long,
    ): Int = (rate * lifeMillis * USED_SHARE / MILLIS_PER_SECOND).toInt()

    private fun removeExpired(nowMillis: Long) {
        while (lots.isNotEmpty() && lots.first().expiresMillis <= nowMillis) lots.removeFirst()
    }

    private companion object {
        const val MILLIS_PER_SECOND = 1_000

        /** Part of a token's life for which tokens are asked in advance, since those that expire are lost. */
        const val USED_SHARE = 0.6
        const val LEAD_MILLIS = 40L

        /** A question has one byte for the number of tokens. */
        const val MAX_WANTED = 255
        const val UNAVAILABLE_MILLIS = 1_000L
        const val IDLE_RATE = 0.01
    }
}
