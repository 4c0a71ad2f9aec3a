package dev.baobabhollow.calls

import dev.baobabhollow.model.TenantId

/**
 * Recent calls and granted slots by tenant, as a guard against starvation: round-robin gives a large tenant no more
 * than a small one, so that almost none of its calls would get a slot while all tenants together exceed the target's
 * capacity. Records nothing while no call has a tenant. Not thread-safe.
 */
internal class TenantShares {
    private class Counts {
        var calls = 0.0
        var granted = 0.0
        val ratio: Double get() = if (calls > 0) granted / calls else 1.0

        fun halve() {
            calls /= 2
            granted /= 2
        }
    }

    private val counts = HashMap<TenantId?, Counts>()
    private val all = Counts()
    private var callsUntilDecay = DECAY_CALLS

    /** Number of tenants of which calls are counted, including calls without a tenant. */
    val size: Int get() = counts.size

    /** Counts a call that requests a slot. */
    fun recordCall(tenant: TenantId?) {
        if (tenant == null && counts.isEmpty()) return
        counts.getOrPut(tenant) { Counts() }.calls++
        all.calls++
        if (--callsUntilDecay <= 0) decay()
    }

    /** Counts a call that has got a slot. */
    fun recordGrant(tenant: TenantId?) {
        val counted = counts[tenant] ?: return
        counted.granted++
        all.granted++
    }

    /** Returns the share of the recent calls of [tenant] that got a slot. */
    fun ratio(tenant: TenantId?): Double = counts[tenant]?.ratio ?: 1.0

    /** True if the calls of [tenant] have got slots less than [FLOOR] times as often as those of all tenants. */
    fun isBelowFloor(tenant: TenantId?): Boolean = ratio(tenant) < all.ratio * FLOOR

    /** Halves the counts, and forgets tenants without recent calls. */
    private fun decay() {
        callsUntilDecay = DECAY_CALLS
        counts.values.forEach { it.halve() }
        all.halve()
        counts.values.removeIf { it.calls < FORGOTTEN_CALLS }
    }

    private companion object {
        /** Above the required quarter, because the share is measured over some calls and varies. */
        const val FLOOR = 0.3

        /** About two seconds of calls of a target under overload. */
        const val DECAY_CALLS = 512
        const val FORGOTTEN_CALLS = 0.25
    }
}
