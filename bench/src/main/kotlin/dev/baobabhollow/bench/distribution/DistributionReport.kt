package dev.baobabhollow.bench.distribution

import kotlinx.serialization.Serializable

/** Holds the figures of all sizes and their growth with the number of nodes. */
@Serializable
data class DistributionReport(
    val domains: Int,
    val changes: Int,
    val rows: List<DistributionRow>,
    val slopes: List<Slope>,
)

/**
 * Holds the figures of [nodes] nodes. Convergence is the time in milliseconds from the answer of the append until a node
 * holds the version. Bytes are payload bytes sent by one node in one second; log reads are calls in one second of the
 * whole fleet. [cpuPercent] is the process's share of one core for each node, the stand-in log included.
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

/** Holds the least-squares line of [figure] over the number of nodes. */
@Serializable
data class Slope(
    val design: String,
    val figure: String,
    val perNode: Double,
    val atZero: Double,
)

/** Fits a line through points (number of nodes, figure) by least squares. Needs two different numbers of nodes. */
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
