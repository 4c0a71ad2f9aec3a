package dev.baobabhollow.cli.demo

import dev.baobabhollow.cli.moveTable
import dev.baobabhollow.cli.percent
import dev.baobabhollow.cli.table
import java.util.Locale

private const val MICROS_PER_MILLI = 1_000.0

/** Renders the measurements of [result] as text tables. */
internal fun demoText(result: DemoResult): String {
    val counts = CallResult.entries.associateWith { callResult -> result.calls.count { it.result == callResult } }
    val wrong = counts.getValue(CallResult.WRONG) + counts.getValue(CallResult.MISSING)
    val (bad, all) = badReleaseCalls(result)
    val bytes = result.controlBytesPerSecond.values
    val rows =
        result.convergence.map { (version, millis) -> "convergence of version $version" to "${millis ?: "-"} ms" } +
            listOf(
                "control bytes per node and second" to "mean ${rounded(bytes.average())}, most ${rounded(bytes.max())}",
                "calls served" to "${counts.getValue(CallResult.SERVED)} of ${result.calls.size}",
                "calls with a wrong or missing answer" to "$wrong",
                "calls refused as not run" to "${counts.getValue(CallResult.NOT_RUN)}${reasons(result)}",
                "calls that may have run (unknown)" to "${counts.getValue(CallResult.UNKNOWN)}",
                "errors of the bad release" to "${counts.getValue(CallResult.TARGET_ERROR)}",
                "share of calls that the bad release got" to "$bad of $all (${percent(share(bad, all))})",
                "latency at p50 / p99" to "${quantile(result, 0.5)} / ${quantile(result, 0.99)} ms",
            )
    return "Measured on ${result.nodes} nodes\n" +
        table(listOf("FIGURE", "VALUE"), rows.map { listOf(it.first, it.second) }) +
        "\n\nMoves\n" + moveTable(listOf(result.goodMove, result.badMove))
}

/** Renders [checks] as a text table. */
internal fun promiseText(checks: List<PromiseCheck>): String {
    val rows = checks.map { listOf(if (it.held) "held" else "BROKEN", it.promise, it.figures) }
    return "Promises\n" + table(listOf("RESULT", "PROMISE", "FIGURES"), rows)
}

private fun reasons(result: DemoResult): String {
    val refused = result.calls.filter { it.result == CallResult.NOT_RUN }
    if (refused.isEmpty()) return ""
    val counts = refused.groupingBy { it.detail }.eachCount()
    return " (" + counts.entries.joinToString(", ") { "${it.value} with ${it.key}" } + ")"
}

private fun share(
    part: Long,
    total: Long,
) = part.toDouble() / total.coerceAtLeast(1)

private fun rounded(value: Double) = String.format(Locale.ROOT, "%.0f", value)

private fun quantile(
    result: DemoResult,
    quantile: Double,
): String {
    val sorted =
        result.calls
            .filter { it.result == CallResult.SERVED }
            .map { it.micros }
            .sorted()
    if (sorted.isEmpty()) return "-"
    val index = (sorted.size * quantile).toInt().coerceAtMost(sorted.size - 1)
    return String.format(Locale.ROOT, "%.1f", sorted[index] / MICROS_PER_MILLI)
}
