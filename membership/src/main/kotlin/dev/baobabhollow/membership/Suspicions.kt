package dev.baobabhollow.membership

import dev.baobabhollow.model.NodeId
import dev.baobabhollow.model.NodeRecord
import kotlin.math.log10
import kotlin.math.max

/** Deadlines after which suspected nodes of the domain are declared dead unless they refute the suspicion. */
internal class Suspicions(
    private val settings: MembershipSettings,
) {
    private class Suspicion(
        val incarnation: Long,
        var deadlineMillis: Long,
    )

    private val suspected = LinkedHashMap<NodeId, Suspicion>()

    fun start(
        record: NodeRecord,
        nowMillis: Long,
        domainSize: Int,
    ) {
        if (suspected[record.node]?.incarnation == record.incarnation) return
        suspected[record.node] = Suspicion(record.incarnation, nowMillis + timeoutMillis(domainSize))
    }

    fun end(node: NodeId) {
        suspected -= node
    }

    /** Restarts all timeouts, after a time in which no refutation could have arrived. */
    fun restart(
        nowMillis: Long,
        domainSize: Int,
    ) {
        suspected.values.forEach { it.deadlineMillis = max(it.deadlineMillis, nowMillis + timeoutMillis(domainSize)) }
    }

    /** Removes and returns the nodes whose deadline has passed, with their suspected incarnations. */
    fun takeExpired(nowMillis: Long): Map<NodeId, Long> {
        val expired = suspected.filterValues { it.deadlineMillis <= nowMillis }.mapValues { it.value.incarnation }
        suspected -= expired.keys
        return expired
    }

    private fun timeoutMillis(domainSize: Int): Long {
        val scale = max(1.0, log10(domainSize.coerceAtLeast(1).toDouble()))
        return (settings.suspicionFactor * scale * settings.probePeriodMillis).toLong()
    }
}
