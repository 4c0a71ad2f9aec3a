package dev.baobabhollow.cli

import dev.baobabhollow.node.BurnBucket
import java.util.Locale

private const val WIDTH = 900
private const val HEIGHT = 140
private const val MARGIN = 30

/** Lowest top of the vertical axis, so that the line for a burn rate of 1 stays visible when rates are low. */
private const val MIN_TOP_RATE = 2.0

/**
 * Draws the burn rates of [route] over time as SVG: errors in red, slow calls in blue, a rate of 1 as a dashed line.
 */
internal fun burnPlot(
    route: RouteReport,
    report: BurnReport,
): String {
    val errors = points(route.buckets) { burnRate(it.calls, it.errors, route.objective.availability) }
    val slow = points(route.buckets) { burnRate(it.calls, it.slow, route.objective.fastShare) }
    val top = maxOf(MIN_TOP_RATE, (errors + slow).maxOfOrNull { it.second } ?: 0.0)
    val first = route.buckets.firstOrNull()?.startMillis ?: report.nowMillis
    val scale = PlotScale(first, maxOf(report.nowMillis, first + 1), top)
    return buildString {
        append("""<svg width="$WIDTH" height="$HEIGHT" role="img" aria-label="burn rate over time">""")
        val one = scale.y(1.0)
        append("""<line x1="$MARGIN" x2="${WIDTH - MARGIN}" y1="$one" y2="$one" stroke="#777" stroke-dasharray="4"/>""")
        append("""<text x="2" y="$one" font-size="11">1</text>""")
        append("""<text x="2" y="${scale.y(top)}" font-size="11">${String.format(Locale.ROOT, "%.0f", top)}</text>""")
        append(polyline(errors, scale, "#c22"))
        append(polyline(slow, scale, "#22c"))
        append("</svg>")
    }
}

private fun points(
    buckets: List<BurnBucket>,
    rate: (BurnBucket) -> Double?,
): List<Pair<Long, Double>> = buckets.mapNotNull { bucket -> rate(bucket)?.let { bucket.startMillis to it } }

private fun polyline(
    points: List<Pair<Long, Double>>,
    scale: PlotScale,
    color: String,
): String {
    val text = points.joinToString(" ") { (millis, rate) -> "${scale.x(millis)},${scale.y(rate)}" }
    return """<polyline points="$text" fill="none" stroke="$color" stroke-width="1.5"/>"""
}

private class PlotScale(
    private val fromMillis: Long,
    private val toMillis: Long,
    private val topRate: Double,
) {
    fun x(millis: Long): String {
        val part = (millis - fromMillis).toDouble() / (toMillis - fromMillis)
        return format(MARGIN + part * (WIDTH - 2 * MARGIN))
    }

    fun y(rate: Double): String = format(HEIGHT - MARGIN - rate / topRate * (HEIGHT - 2 * MARGIN))

    private fun format(value: Double) = String.format(Locale.ROOT, "%.1f", value)
}
