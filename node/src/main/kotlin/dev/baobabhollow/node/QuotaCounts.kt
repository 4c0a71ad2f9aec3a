package dev.baobabhollow.node

import dev.baobabhollow.calls.QuotaDecision
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.LongAdder

/** Counts the decisions on requests by tenant: the first [MAX_NAMED] by name, the rest in one row. Thread-safe. */
internal class QuotaCounts {
    private class Row {
        val granted = LongAdder()
        val denied = LongAdder()
        val unknown = LongAdder()
    }

    private val rows = ConcurrentHashMap<String, Row>()
    private val others = Row()

    /** Counts [decision] on a request of [tenant]. */
    fun count(
        tenant: String,
        decision: QuotaDecision,
    ) {
        val row = rowOf(tenant)
        when (decision) {
            is QuotaDecision.Granted -> row.granted.increment()
            is QuotaDecision.Denied -> row.denied.increment()
            is QuotaDecision.Unavailable -> row.unknown.increment()
        }
    }

    /** Passes each count with its tenant and its result to [show]. */
    fun forEach(show: (Long, String, String) -> Unit) {
        (rows.entries.map { it.key to it.value } + ("" to others)).forEach { (tenant, row) ->
            show(row.granted.sum(), tenant, "granted")
            show(row.denied.sum(), tenant, "over-quota")
            show(row.unknown.sum(), tenant, "unknown")
        }
    }

    private fun rowOf(tenant: String): Row {
        rows[tenant]?.let { return it }
        return if (rows.size >= MAX_NAMED) others else rows.computeIfAbsent(tenant) { Row() }
    }

    companion object {
        /** Bounds the time series of the metrics. */
        const val MAX_NAMED = 100
    }
}
