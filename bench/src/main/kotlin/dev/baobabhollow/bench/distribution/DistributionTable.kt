package dev.baobabhollow.bench.distribution

import java.util.Locale

private const val ROW = "%-9s %5s %9s %9s %9s %11s %13s %11s %13s %7s"

/** Renders [report] as a text table. */
fun renderDistributionReport(report: DistributionReport): String =
    buildString {
        appendLine(
            "${report.domains} failure domains, ${report.changes} changes; convergence in ms, bytes sent per node and s",
        )
        appendLine(
            ROW.format(
                "design",
                "nodes",
                "conv p50",
                "conv p99",
                "conv max",
                "bytes idle",
                "bytes change",
                "reads/s",
                "reads/change",
                "cpu %",
            ),
        )
        report.rows.forEach { appendLine(line(it)) }
        report.slopes.forEach {
            val perNode = "%+.4f".format(Locale.ROOT, it.perNode)
            appendLine("${it.design}: ${it.figure} grows by $perNode per node, ${number(it.atZero)} at 0 nodes")
        }
    }

private fun line(row: DistributionRow): String =
    ROW.format(
        row.design,
        row.nodes,
        number(row.convergenceP50Millis),
        number(row.convergenceP99Millis),
        number(row.convergenceMaxMillis),
        number(row.idleBytesPerNodeSecond),
        number(row.changeBytesPerNodeSecond),
        number(row.idleLogReadsPerSecond),
        number(row.logReadsPerChange),
        number(row.cpuPercent),
    )

private fun number(value: Double) = "%.2f".format(Locale.ROOT, value)
