package dev.baobabhollow.bench.calls

import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json

/** Latency of calls over one path, in milliseconds, and calls per second of CPU time used by the nodes. */
@Serializable
data class LatencyRow(
    val path: String,
    val calls: Long,
    val failed: Long,
    val p50Millis: Double,
    val p99Millis: Double,
    val p999Millis: Double,
    val addedP50Millis: Double,
    val addedP99Millis: Double,
    /** Median over the rounds of the added p99, which a single disturbed round does not distort. */
    val medianAddedP99Millis: Double,
    val callsPerCoreSecond: Double?,
)

/** Result of one overload run; [goodputOfPeak] is its goodput as a fraction of the highest in the same scenario. */
@Serializable
data class OverloadRow(
    val scenario: String,
    val loadFactor: Double,
    val offeredPerSecond: Double,
    val goodPerSecond: Double,
    val refusedPerSecond: Double,
    val failedPerSecond: Double,
    val p99Millis: Double,
    val goodputOfPeak: Double,
)

/** Results of one run of [CallsBench]. */
@Serializable
data class CallsReport(
    val latency: List<LatencyRow>,
    val overload: List<OverloadRow>,
    val pipelining: List<PipelineRow>,
    val slowReaders: SlowReaderRow,
) {
    /** True if the added p99 latency of each path and the nodes' goodput at the highest load meet the objectives. */
    val meetsObjectives: Boolean
        get() {
            val isFast = latency.all { it.addedP99Millis <= CallsObjectives.ADDED_P99_MILLIS }
            val highest = overload.maxOfOrNull { it.loadFactor }
            val last = overload.filter { it.loadFactor == highest && !it.scenario.startsWith(BASELINE) }
            return isFast && last.all { it.goodputOfPeak >= CallsObjectives.GOODPUT_AT_OVERLOAD }
        }

    /** Returns the report as JSON. */
    fun toJson(): String = Json { prettyPrint = true }.encodeToString(serializer(), this)

    /** Returns the report as tables. */
    fun toTable(): String =
        buildString {
            appendLine(
                "path       calls  failed  p50 ms  p99 ms  p99.9 ms  +p50 ms  +p99 ms  +p99 median  calls/core-s",
            )
            latency.forEach {
                val perCore = it.callsPerCoreSecond?.let { calls -> "%.0f".format(calls) } ?: "-"
                appendLine(
                    "%-9s %6d %7d %7.3f %7.3f %9.3f %8.3f %8.3f %12.3f %13s".format(
                        it.path,
                        it.calls,
                        it.failed,
                        it.p50Millis,
                        it.p99Millis,
                        it.p999Millis,
                        it.addedP50Millis,
                        it.addedP99Millis,
                        it.medianAddedP99Millis,
                        perCore,
                    ),
                )
            }
            appendLine()
            appendLine("scenario                 load  offered/s  good/s  refused/s  failed/s   p99 ms  of peak")
            overload.forEach {
                appendLine(
                    "%-23s %5.1f %10.0f %7.0f %10.0f %9.0f %8.1f %7.1f%%".format(
                        it.scenario,
                        it.loadFactor,
                        it.offeredPerSecond,
                        it.goodPerSecond,
                        it.refusedPerSecond,
                        it.failedPerSecond,
                        it.p99Millis,
                        it.goodputOfPeak * 100,
                    ),
                )
            }
            appendLine()
            appendLine("requests at once  requests   p50 ms   p99 ms")
            pipelining.forEach {
                appendLine("%16d %9d %8.1f %8.1f".format(it.depth, it.requests, it.p50Millis, it.p99Millis))
            }
            appendLine()
            appendLine(
                "slow readers: ${slowReaders.wholeResponses} of ${slowReaders.readers} received " +
                    "${slowReaders.responseBytes} bytes, direct memory at most ${slowReaders.peakDirectBytes} bytes",
            )
        }

    internal companion object {
        const val BASELINE = "baseline"
    }
}
