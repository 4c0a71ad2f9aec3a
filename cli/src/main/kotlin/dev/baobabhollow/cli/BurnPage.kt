package dev.baobabhollow.cli

import kotlinx.html.BODY
import kotlinx.html.TABLE
import kotlinx.html.body
import kotlinx.html.h1
import kotlinx.html.h2
import kotlinx.html.head
import kotlinx.html.html
import kotlinx.html.li
import kotlinx.html.meta
import kotlinx.html.p
import kotlinx.html.stream.createHTML
import kotlinx.html.style
import kotlinx.html.table
import kotlinx.html.td
import kotlinx.html.th
import kotlinx.html.title
import kotlinx.html.tr
import kotlinx.html.ul
import kotlinx.html.unsafe
import java.time.Instant

private const val STYLE =
    "body{font:14px sans-serif;margin:2em;max-width:70em}table{border-collapse:collapse}" +
        "td,th{border:1px solid #bbb;padding:.3em .6em;text-align:left}svg{background:#fafafa;border:1px solid #ccc}"

/** Renders [report] as a self-contained HTML page. */
internal fun burnPage(report: BurnReport): String =
    "<!DOCTYPE html>\n" +
        createHTML().html {
            attributes["lang"] = "en"
            head {
                meta(charset = "utf-8")
                title("Service-level burn")
                style { unsafe { +STYLE } }
            }
            body {
                h1 { +"Service-level burn" }
                p {
                    +"At ${Instant.ofEpochMilli(
                        report.nowMillis,
                    )}. A burn rate of 1 uses up the error budget exactly."
                }
                p { +"Counted by ${report.nodesAsked - report.nodesMissing.size} of ${report.nodesAsked} nodes." }
                ul { report.nodesMissing.forEach { li { +"missing: $it" } } }
                members(report)
                report.routes.groupBy { it.member }.forEach { (member, routes) ->
                    h2 { +(member?.value ?: "no member") }
                    routes.forEach { route(report, it) }
                }
            }
        }

private fun BODY.members(report: BurnReport) {
    h2 { +"Members" }
    table {
        row("Member", "Name", "Move priority", isHeading = true)
        report.members.forEach { row(it.member.value, it.name, priorityText(it.movePriority)) }
    }
}

private fun BODY.route(
    report: BurnReport,
    route: RouteReport,
) {
    p { +"${route.service}, route ${route.route}" }
    table {
        row("Objective", "Calls", "Bad", "Budget left", "Short burn rate", "Long burn rate", isHeading = true)
        burnRow("${percent(route.objective.availability)} available", route.availability)
        burnRow("${percent(route.objective.fastShare)} within ${route.objective.fastMillis} ms", route.latency)
    }
    p { +("Coincides with: " + route.coincides.joinToString(", ").ifEmpty { "nothing" }) }
    p { unsafe { +burnPlot(route, report) } }
}

private fun TABLE.burnRow(
    objective: String,
    burn: ObjectiveBurn,
) = row(
    objective,
    burn.calls.toString(),
    burn.bad.toString(),
    percent(burn.budgetLeft),
    rate(burn.shortRate),
    rate(burn.longRate),
)

private fun TABLE.row(
    vararg cells: String,
    isHeading: Boolean = false,
) = tr { cells.forEach { cell -> if (isHeading) th { +cell } else td { +cell } } }
