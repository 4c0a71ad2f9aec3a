package dev.baobabhollow.proxy

import dev.baobabhollow.calls.QuotaDecision
import dev.baobabhollow.calls.QuotaKey
import dev.baobabhollow.calls.QuotaToken
import dev.baobabhollow.calls.QuotaWaiter
import dev.baobabhollow.model.TenantId

/** Decides whether requests are within the quota of their tenant over all nodes. Thread-safe. */
interface CallQuotas {
    /** Returns the key under which the requests of [tenant] are counted, or null if it has no limit. */
    fun keyOf(tenant: TenantId): QuotaKey?

    /**
     * Takes a token for a request. Returns the decision, or null if the request has to wait: then [onWait] has received
     * the waiter, and [decide] is called once, on any thread and possibly before this function returns.
     */
    fun take(
        key: QuotaKey,
        onWait: (QuotaWaiter) -> Unit,
        decide: (QuotaDecision) -> Unit,
    ): QuotaDecision?

    /** Returns the [token] of a request that has not run. */
    fun giveBack(token: QuotaToken)
}

/** Quotas of a node whose settings state none: no tenant has a limit. */
object NoCallQuotas : CallQuotas {
    override fun keyOf(tenant: TenantId): QuotaKey? = null

    override fun take(
        key: QuotaKey,
        onWait: (QuotaWaiter) -> Unit,
        decide: (QuotaDecision) -> Unit,
    ): QuotaDecision = QuotaDecision.Granted(QuotaToken(key, Long.MAX_VALUE))

    override fun giveBack(token: QuotaToken) = Unit
}
