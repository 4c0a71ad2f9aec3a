package dev.baobabhollow.bench.moves

import java.util.Locale

/** Renders [report] as text tables. */
fun renderMovesReport(report: MovesReport): String =
    buildString {
        appendLine(
            "member ${report.member.name.lowercase()}, ${report.moves} moves of each kind, seed ${report.seed}, " +
                "summaries every ${report.summaryMillis} ms, decisions every ${report.decisionMillis} ms",
        )
        appendLine(
            HEADER.format(
                "judge",
                "kind",
                "completed",
                "taken back",
                "given up",
                "new calls",
                "share",
                "before",
                "calls bef.",
            ),
        )
        report.rows.forEach { row ->
            appendLine(line("decision", row.kind, row.judged))
            appendLine(line("baseline", row.kind, row.baseline))
        }
        appendLine()
        appendLine(
            TIMES_HEADER.format("kind", "fault p50/p99", "visible p50/p99", "enough p50/p99", "within 2 s", "unseen"),
        )
        report.rows.filter { it.kind.isBad }.forEach { row ->
            appendLine(times(row.kind.label, row.judged))
            appendLine(times("  baseline", row.baseline))
        }
    }

private const val HEADER = "%-8s  %-40s  %9s  %10s  %8s  %9s  %7s  %7s  %10s"
private const val TIMES_HEADER = "%-40s  %14s  %15s  %14s  %10s  %6s"

private fun line(
    judge: String,
    kind: MoveKind,
    figures: MoveFigures,
) = HEADER.format(
    judge,
    kind.label,
    percent(figures.completedInTime),
    percent(figures.takenBack),
    percent(figures.givenUp),
    "%.0f".format(Locale.ROOT, figures.newCalls),
    percent(figures.newCallShare),
    if (kind.isBad) percent(figures.shareBeforeVisible) else "-",
    if (kind.isBad) "%.0f".format(Locale.ROOT, figures.faultyCallsBeforeVisible) else "-",
)

private fun times(
    label: String,
    figures: MoveFigures,
) = TIMES_HEADER.format(
    label,
    "${seconds(figures.faultToNoTrafficP50)}/${seconds(figures.faultToNoTrafficP99)}",
    "${seconds(figures.visibleToNoTrafficP50)}/${seconds(figures.visibleToNoTrafficP99)}",
    "${seconds(figures.enoughToNoTrafficP50)}/${seconds(figures.enoughToNoTrafficP99)}",
    percent(figures.enoughWithin2Seconds),
    percent(figures.neverVisible),
)

private fun percent(share: Double?) = if (share == null) "-" else "%.2f%%".format(Locale.ROOT, share * 100)

private fun seconds(value: Double?) = if (value == null) "-" else "%.2f".format(Locale.ROOT, value)
