package dev.baobabhollow.calls

import dev.baobabhollow.model.ServiceId
import java.util.concurrent.ConcurrentHashMap

/**
 * Token bucket that limits the retries of one service to a fraction of its calls. Every call adds a fraction of a
 * retry. [nodes] returns the number of nodes between which a shared capacity is divided. Thread-safe.
 */
class RetryBudget(
    private val settings: RetryBudgetSettings,
    private val nodes: () -> Int = { 1 },
) {
    private val capacity: Long
        get() {
            val shared = settings.sharedSavedRetries ?: return settings.maxSavedRetries * PERMILLE_PER_RETRY
            return (shared / nodes().coerceAtLeast(1) * PERMILLE_PER_RETRY).toLong().coerceAtLeast(PERMILLE_PER_RETRY)
        }
    private var savedPermille = 0L
    private var secondEndMillis = Long.MIN_VALUE
    private var minimumRemaining = 0

    /** Counts a first attempt. */
    @Synchronized
    fun onCall() {
        savedPermille = (savedPermille + settings.ratioPermille).coerceAtMost(capacity)
    }

    /** Takes one retry from the budget, or returns false if it is exhausted. */
    @Synchronized
    fun tryRetry(nowMillis: Long): Boolean {
        if (savedPermille >= PERMILLE_PER_RETRY) {
            savedPermille -= PERMILLE_PER_RETRY
            return true
        }
        if (nowMillis >= secondEndMillis) {
            secondEndMillis = nowMillis + MILLIS_PER_SECOND
            minimumRemaining = settings.minimumPerSecond
        }
        if (minimumRemaining == 0) return false
        minimumRemaining--
        return true
    }

    private companion object {
        const val PERMILLE_PER_RETRY = 1_000L
        const val MILLIS_PER_SECOND = 1_000L
    }
}

/** Retry budgets by service. Thread-safe. */
class RetryBudgets(
    private val settings: RetryBudgetSettings,
) {
    private val budgets = ConcurrentHashMap<ServiceId, RetryBudget>()

    /** Number of nodes between which [RetryBudgetSettings.sharedSavedRetries] is divided. */
    @Volatile
    var nodes = 1

    /** Returns the budget of [service]. */
    fun of(service: ServiceId): RetryBudget =
        budgets[service] ?: budgets.computeIfAbsent(service) { RetryBudget(settings, ::nodes) }

    /** Removes the budgets of all services except [services]. */
    fun retain(services: Set<ServiceId>) {
        budgets.keys.retainAll(services)
    }
}
