package dev.baobabhollow.moves

import dev.baobabhollow.model.FailureDomainId
import java.util.TreeMap

/** Recent load shedding by targets of the new release, by failure domain. */
internal class ShedHistory(
    private val minShare: Double,
) {
    private class Load(
        var arrived: Long = 0,
        var shed: Long = 0,
    )

    private val loads = TreeMap<Long, HashMap<FailureDomainId, Load>>()

    /** Adds calls of the window that ends at [endMillis]: those [answered] by the target, and those [shed]. */
    fun record(
        failureDomain: FailureDomainId,
        endMillis: Long,
        answered: Long,
        shed: Long,
    ) {
        val load = loads.getOrPut(endMillis) { HashMap() }.getOrPut(failureDomain) { Load() }
        load.arrived += answered + shed
        load.shed += shed
    }

    /** Returns the domains that shed more than [minShare] of their calls in the [MEMORY_MILLIS] before [endMillis]. */
    fun sheddingAt(endMillis: Long): Set<FailureDomainId> {
        val total = HashMap<FailureDomainId, Load>()
        loads.subMap(endMillis - MEMORY_MILLIS, false, endMillis, true).values.forEach { window ->
            window.forEach { (domain, load) ->
                val sum = total.getOrPut(domain) { Load() }
                sum.arrived += load.arrived
                sum.shed += load.shed
            }
        }
        return total.filterValues { it.shed > minShare * it.arrived }.keys
    }

    /** Drops windows that ended so long before [nowMillis] that they no longer count. */
    fun forget(nowMillis: Long) = loads.headMap(nowMillis - 2 * MEMORY_MILLIS).clear()

    private companion object {
        /** At the unproven share a target has few calls, so it takes a minute to see that it sheds a tenth of them. */
        const val MEMORY_MILLIS = 60_000L
    }
}
