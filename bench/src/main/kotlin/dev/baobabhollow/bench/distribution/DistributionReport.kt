package dev.baobabhollow.bench.distribution

import kotlinx.serialization.Serializable

/** Results for all fleet sizes, and their growth with the number of nodes. */
@Serializable
data class DistributionReport(
    val domains: Int,
    val changes: Int,
    val rows: List<DistributionRow>,
    val slopes: List<Slope>,
)

/**
 * Results for a fleet of [nodes] nodes. Convergence is the time in milliseconds from sending the append until a node
 * holds the version. Bytes are payload bytes sent per node and second; [idleLogReadsPerSecond] and [logReadsPerChange]
 * count the log reads of the whole fleet. [cpuPercent] is the CPU use of the process per node, in percent of one core,
 * including the stand-in log.
 */
@Serializable
data class DistributionRow(
    val design: String,
    val nodes: Int,
    val convergenceP50Millis: Double,
    val convergenceP99Millis: Double,
    val convergenceMaxMillis: Double,
    val idleBytesPerNodeSecond: Double,
    val changeBytesPerNodeSecond: Double,
    val idleLogReadsPerSecond: Double,
    val logReadsPerChange: Double,
    val cpuPercent: Double,
)

/** Least-squares line of [figure] over the number of nodes: its slope [perNode] and its intercept [atZero]. */
@Serializable
data class Slope(
    val design: String,
    val figure: String,
    val perNode: Double,
    val atZero: Double,
)

/**
 * Fits a line to points (number of nodes, figure) by least squares. The slope is 0 if all points have the same number.
 */
internal fun fitLine(
    design: String,
    figure: String,
    points: List<Pair<Double, Double>>,
): Slope {
    val meanX = points.map { it.first }.average()
    val meanY = points.map { it.second }.average()
    val covariance = points.sumOf { (x, y) -> (x - meanX) * (y - meanY) }
    val variance = points.sumOf { (x, _) -> (x - meanX) * (x - meanX) }
    val slope = if (variance == 0.0) 0.0 else covariance / variance
    return Slope(design, figure, slope, meanY - slope * meanX)
}
