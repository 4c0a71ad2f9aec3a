package dev.baobabhollow.cli.demo

import dev.baobabhollow.cli.moveTable
import dev.baobabhollow.cli.percent
import dev.baobabhollow.cli.table
import java.util.Locale

private const val MICROS_PER_MILLI = 1_000.0

/** Returns the figures of [result] for a person. */
internal fun demoText(result: DemoResult): String {
    val ends = CallEnd.entries.associateWith { end -> result.calls.count { it.end == end } }
    val wrong = ends.getValue(CallEnd.WRONG) + ends.getValue(CallEnd.MISSING)
    val (bad, all) = badReleaseCalls(result)
    val bytes = result.controlBytesPerSecond.values
    val rows =
        result.convergence.map { (version, millis) -> "convergence of version $version" to "${millis ?: "-"} ms" } +
            listOf(
                "control bytes per node and second" to "mean ${whole(bytes.average())}, most ${whole(bytes.max())}",
                "calls served" to "${ends.getValue(CallEnd.SERVED)} of ${result.calls.size}",
                "calls with a wrong or missing answer" to "$wrong",
                "calls refused as not run" to "${ends.getValue(CallEnd.NOT_RUN)}${reasons(result)}",
                "calls that may have run (unknown)" to "${ends.getValue(CallEnd.UNKNOWN)}",
                "errors of the bad release" to "${ends.getValue(CallEnd.TARGET_ERROR)}",
                "share of calls that the bad release got" to "$bad of $all (${percent(share(bad, all))})",
                "latency at p50 / p99" to "${quantile(result, 0.5)} / ${quantile(result, 0.99)} ms",
            )
    return "Measured on ${result.nodes} nodes\n" +
        table(listOf("FIGURE", "VALUE"), rows.map { listOf(it.first, it.second) }) +
        "\n\nMoves\n" + moveTable(listOf(result.goodMove, result.badMove))
}

/** Returns the checks for a person. */
internal fun promiseText(checks: List<PromiseCheck>): String {
    val rows = checks.map { listOf(if (it.held) "held" else "BROKEN", it.promise, it.figures) }
    return "Promises\n" + table(listOf("RESULT", "PROMISE", "FIGURES"), rows)
}

private fun reasons(result: DemoResult): String {
    val refused = result.calls.filter { it.end == CallEnd.NOT_RUN }
    if (refused.isEmpty()) return ""
    val counts = refused.groupingBy { it.detail }.eachCount()
    return " (" + counts.entries.joinToString(", ") { "${it.value} with ${it.key}" } + ")"
}

private fun share(
    part: Long,
    whole: Long,
) = part.toDouble() / whole.coerceAtLeast(1)

private fun whole(value: Double) = String.format(Locale.ROOT, "%.0f", value)

private fun quantile(
    result: DemoResult,
    quantile: Double,
): String {
    val sorted =
        result.calls
            .filter { it.end == CallEnd.SERVED }
            .map { it.micros }
            .sorted()
    if (sorted.isEmpty()) return "-"
    val index = (sorted.size * quantile).toInt().coerceAtMost(sorted.size - 1)
    return String.format(Locale.ROOT, "%.1f", sorted[index] / MICROS_PER_MILLI)
}
