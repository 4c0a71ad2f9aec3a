package dev.baobabhollow.cli.capacity

import dev.baobabhollow.bench.calls.CallsReport
import dev.baobabhollow.bench.distribution.DistributionReport
import dev.baobabhollow.bench.distribution.DistributionRow
import kotlin.math.sqrt

/**
 * One cost at the planned size. [value] and [limit] have the unit named in [figure]. [perNode] is the slope of the
 * fitted line and [fitError] its root mean square error; both are null for a figure that was not fitted.
 */
internal data class CapacityLine(
    val role: String,
    val figure: String,
    val value: Double,
    val limit: Double,
    val perNode: Double?,
    val fitError: Double?,
    val mechanism: String,
) {
    val fits: Boolean get() = value <= limit
}

private const val DESIGN = "peers"
private const val READERS_PER_DOMAIN = 2

/** Computes the lines from benchmark reports. [changePauseMillis] is the benchmark's pause between two patches. */
internal fun capacityLines(
    distribution: DistributionReport,
    calls: CallsReport,
    changePauseMillis: Long,
): List<CapacityLine> {
    val rows = distribution.rows.filter { it.design == DESIGN }
    val changesPerSecond = PlannedSize.CHANGES_PER_DAY / PlannedSize.SECONDS_PER_DAY
    val bytesPerChange =
        rows.map {
            (it.changeBytesPerNodeSecond - it.idleBytesPerNodeSecond) * changePauseMillis /
                1_000
        }
    return listOf(
        fitted(
            rows,
            "membership member",
            "control bytes sent per second at rest",
            PlannedSize.CONTROL_BYTES_PER_SECOND,
            "probes of one node a second; digests of domains, about one a second per domain",
        ) { it.idleBytesPerNodeSecond },
        CapacityLine(
            "every node",
            "control bytes sent per second for 1,200 changes a day, as a mean",
            bytesPerChange.max() * changesPerSecond,
            PlannedSize.CONTROL_BYTES_PER_SECOND,
            null,
            null,
            "push of new records to 4 peers; the largest measured cost of a change is taken",
        ),
        fitted(
            rows,
            "every node",
            "control CPU at rest, percent of a core",
            PlannedSize.CONTROL_CORE_PERCENT,
            "one control thread; hash cached for each offset",
        ) { it.cpuPercent },
        fitted(
            rows,
            "every node",
            "longest time until a change is in force, ms",
            PlannedSize.IN_FORCE_MILLIS,
            "epidemic push and pull; a line overstates growth that is logarithmic",
        ) { it.convergenceMaxMillis },
        CapacityLine(
            "log reader",
            "log reads of the fleet per change",
            rows.maxOf { it.logReadsPerChange } * PlannedSize.FAILURE_DOMAINS / distribution.domains,
            (READERS_PER_DOMAIN * PlannedSize.FAILURE_DOMAINS * 2).toDouble(),
            null,
            null,
            "two readers in each failure domain by rendezvous hashing; the limit is two reads for each reader",
        ),
    ) + callLines(calls)
}

private fun callLines(calls: CallsReport): List<CapacityLine> =
    calls.latency.filter { it.callsPerCoreSecond != null }.map {
        CapacityLine(
            "node as proxy and admission owner",
            "latency added at p99 over ${it.path}, ms",
            it.medianAddedP99Millis,
            PlannedSize.ADDED_P99_MILLIS,
            null,
            null,
            "one event loop for both legs of a call; a call for the node's own target skips the second hop",
        )
    }

private fun fitted(
    rows: List<DistributionRow>,
    role: String,
    figure: String,
    limit: Double,
    mechanism: String,
    valueOf: (DistributionRow) -> Double,
): CapacityLine {
    val line = fitLine(rows.map { it.nodes.toDouble() to valueOf(it) })
    // A falling line comes from a fixed cost shared by more nodes; values extrapolated below the measured ones are
    // meaningless.
    val value = maxOf(line.at(PlannedSize.NODES.toDouble()), rows.maxOf(valueOf))
    return CapacityLine(role, figure, value, limit, line.slope, line.error, mechanism)
}

/** A least-squares line and its root mean square [error]. */
internal data class FittedLine(
    val slope: Double,
    val intercept: Double,
    val error: Double,
) {
    fun at(x: Double): Double = intercept + slope * x
}

/** Fits a line through [points], which need at least two different x values. */
internal fun fitLine(points: List<Pair<Double, Double>>): FittedLine {
    val meanX = points.map { it.first }.average()
    val meanY = points.map { it.second }.average()
    val variance = points.sumOf { (x, _) -> (x - meanX) * (x - meanX) }
    require(variance > 0) { "a line needs at least two different sizes" }
    val slope = points.sumOf { (x, y) -> (x - meanX) * (y - meanY) } / variance
    val intercept = meanY - slope * meanX
    val squares = points.sumOf { (x, y) -> (y - intercept - slope * x).let { it * it } }
    return FittedLine(slope, intercept, sqrt(squares / points.size))
}
