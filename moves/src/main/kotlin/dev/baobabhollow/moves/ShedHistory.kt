package dev.baobabhollow.moves

import dev.baobabhollow.model.FailureDomainId
import java.util.TreeMap

/** Remembers in which failure domains targets of the new release shed load of late. */
internal class ShedHistory(
    private val leastShare: Double,
) {
    private class Load(
        var arrived: Long = 0,
        var shed: Long = 0,
    )

    private val loads = TreeMap<Long, HashMap<FailureDomainId, Load>>()

    /** Notes calls that ended by [endMillis]: [answered] by the target, and [shed]. */
    fun note(
        failureDomain: FailureDomainId,
        endMillis: Long,
        answered: Long,
        shed: Long,
    ) {
        val load = loads.getOrPut(endMillis) { HashMap() }.getOrPut(failureDomain) { Load() }
        load.arrived += answered + shed
        load.shed += shed
    }

    /** Returns the domains that shed more than the least share of their calls in the time before [endMillis]. */
    fun sheddingAt(endMillis: Long): Set<FailureDomainId> {
        val total = HashMap<FailureDomainId, Load>()
        loads.subMap(endMillis - MEMORY_MILLIS, false, endMillis, true).values.forEach { window ->
            window.forEach { (domain, load) ->
                val sum = total.getOrPut(domain) { Load() }
                sum.arrived += load.arrived
                sum.shed += load.shed
            }
        }
        return total.filterValues { it.shed > leastShare * it.arrived }.keys
    }

    /** Forgets what ended long before [nowMillis]. */
    fun forget(nowMillis: Long) = loads.headMap(nowMillis - 2 * MEMORY_MILLIS).clear()

    private companion object {
        /** At the unproven share a target has few calls, so one that sheds a tenth of them shows it only over a minute. */
        const val MEMORY_MILLIS = 60_000L
    }
}
