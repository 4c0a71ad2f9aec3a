package dev.baobabhollow.calls

import dev.baobabhollow.model.ServiceId
import java.util.concurrent.ConcurrentHashMap

/**
 * Limits the retries of one service to a fraction of its calls. Every call saves a part of a retry. [nodes] returns the
 * number of nodes that share what may be saved. Safe for use by several threads.
 */
class RetryBudget(
    private val settings: RetryBudgetSettings,
    private val nodes: () -> Int = { 1 },
) {
    private val capacity: Long
        get() {
            val shared = settings.sharedSavedRetries ?: return settings.maxSavedRetries * RETRY
            return (shared / nodes().coerceAtLeast(1) * RETRY).toLong().coerceAtLeast(RETRY)
        }
    private var saved = 0L
    private var secondEndMillis = Long.MIN_VALUE
    private var minimumLeft = 0

    /** Counts a first attempt. */
    @Synchronized
    fun onCall() {
        saved = (saved + settings.ratioPermille).coerceAtMost(capacity)
    }

    /** Takes one retry from the budget, or returns false. */
    @Synchronized
    fun tryRetry(nowMillis: Long): Boolean {
        if (saved >= RETRY) {
            saved -= RETRY
            return true
        }
        if (nowMillis >= secondEndMillis) {
            secondEndMillis = nowMillis + MILLIS_PER_SECOND
            minimumLeft = settings.minimumPerSecond
        }
        if (minimumLeft == 0) return false
        minimumLeft--
        return true
    }

    private companion object {
        const val RETRY = 1_000L
        const val MILLIS_PER_SECOND = 1_000L
    }
}

/** Keeps one budget for each service. */
class RetryBudgets(
    private val settings: RetryBudgetSettings,
) {
    private val budgets = ConcurrentHashMap<ServiceId, RetryBudget>()

    /** Number of nodes that share what may be saved. */
    @Volatile
    var nodes = 1

    /** Returns the budget of [service]. */
    fun of(service: ServiceId): RetryBudget =
        budgets[service] ?: budgets.computeIfAbsent(service) { RetryBudget(settings, ::nodes) }

    /** Forgets all services but [services]. */
    fun retain(services: Set<ServiceId>) {
        budgets.keys.retainAll(services)
    }
}
