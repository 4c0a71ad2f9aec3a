package dev.baobabhollow.cli

import java.util.Locale

private const val MILLIS_PER_MINUTE = 60_000.0
private val HEADINGS =
    listOf(
        "MEMBER",
        "PRIORITY",
        "SERVICE",
        "ROUTE",
        "OBJECTIVE",
        "CALLS",
        "BAD",
        "BUDGET LEFT",
        "SHORT",
        "LONG",
        "COINCIDES",
    )

/** Renders [report] as a text table with one row for each objective of each route. */
internal fun burnText(report: BurnReport): String {
    val windows = "burn rate over ${minutes(report.shortMillis)} (short) and ${minutes(report.longMillis)} (long)"
    val heading = "$windows, counted by ${report.nodesAsked - report.nodesMissing.size} of ${report.nodesAsked} nodes"
    val missing = report.nodesMissing.map { "missing: $it" }
    val rows =
        report.routes.flatMap {
            listOf(
                cells(it, it.availability, "available"),
                cells(it, it.latency, latencyObjective(it)),
            )
        }
    return (listOf(heading) + missing + table(HEADINGS, rows)).joinToString("\n")
}

private fun latencyObjective(route: RouteReport) = "<= ${route.objective.fastMillis} ms"

private fun cells(
    route: RouteReport,
    burn: ObjectiveBurn,
    objective: String,
): List<String> =
    listOf(
        route.member?.value ?: "-",
        route.movePriority?.let(::priorityText) ?: "-",
        route.service.value,
        route.route.value,
        "${percent(burn.target)} $objective",
        burn.calls.toString(),
        burn.bad.toString(),
        percent(burn.budgetLeft),
        rate(burn.shortRate),
        rate(burn.longRate),
        route.coincides.joinToString(", ").ifEmpty { "-" },
    )

/** Formats a share from 0 to 1 as a percentage. */
internal fun percent(share: Double): String = String.format(Locale.ROOT, "%.1f%%", share * 100)

/** Formats a burn rate; null is shown as a dash. */
internal fun rate(value: Double?): String = value?.let { String.format(Locale.ROOT, "%.2f", it) } ?: "-"

/** Formats a duration in minutes. */
internal fun minutes(millis: Long): String = String.format(Locale.ROOT, "%.0f min", millis / MILLIS_PER_MINUTE)
