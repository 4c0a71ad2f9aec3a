package dev.baobabhollow.cli.capacity

import dev.baobabhollow.bench.calls.CallsReport
import dev.baobabhollow.bench.distribution.DistributionReport
import dev.baobabhollow.bench.distribution.DistributionRow
import kotlin.math.sqrt

/**
 * States one cost at the planned size. [value] and [limit] have the unit named in [figure]; [fitError] is the root mean
 * square distance of the measured points from the line, or null for a figure that was not fitted.
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

/** Works out the lines from measured reports; [changePauseMillis] is the time between two patches of the bench. */
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
    // A falling line says that a fixed cost was shared by more nodes; below the measured figures it means nothing.
    val value = maxOf(line.at(PlannedSize.NODES.toDouble()), rows.maxOf(valueOf))
    return CapacityLine(role, figure, value, limit, line.slope, line.error, mechanism)
}

/** Holds a least-squares line and its root mean square [error]. */
internal data class FittedLine(
    val slope: Double,
    val atZero: Double,
    val error: Double,
) {
    fun at(x: Double): Double = atZero + slope * x
}

/** Fits a line through [points]; needs two different abscissas. */
internal fun fitLine(points: List<Pair<Double, Double>>): FittedLine {
    val meanX = points.map { it.first }.average()
    val meanY = points.map { it.second }.average()
    val variance = points.sumOf { (x, _) -> (x - meanX) * (x - meanX) }
    require(variance > 0) { "a line needs at least two different sizes" }
    val slope = points.sumOf { (x, y) -> (x - meanX) * (y - meanY) } / variance
    val atZero = meanY - slope * meanX
    val squares = points.sumOf { (x, y) -> (y - atZero - slope * x).let { it * it } }
    return FittedLine(slope, atZero, sqrt(squares / points.size))
}
