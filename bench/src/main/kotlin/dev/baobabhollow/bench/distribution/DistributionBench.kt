package dev.baobabhollow.bench.distribution

import com.github.michaelbull.result.fold
import com.sun.management.OperatingSystemMXBean
import dev.baobabhollow.model.Change
import dev.baobabhollow.model.Endpoint
import dev.baobabhollow.model.LogRecord
import dev.baobabhollow.model.MemberConfig
import dev.baobabhollow.model.MemberId
import dev.baobabhollow.model.Patch
import dev.baobabhollow.model.PatchRecord
import dev.baobabhollow.model.StreamName
import dev.baobabhollow.model.WriterId
import dev.baobabhollow.platformlog.HttpPlatformLog
import dev.baobabhollow.standins.StandInLog
import java.lang.management.ManagementFactory
import java.util.concurrent.TimeUnit
import java.util.concurrent.locks.LockSupport
import kotlin.math.ceil

/** Measures how changes propagate to fleets of several sizes, with control planes and with the baseline. */
fun runDistributionBench(options: DistributionOptions): DistributionReport {
    val rows =
        options.sizes.flatMap { size ->
            listOf(
                DistributionBench(options).measure(size) { log -> PeerFleet(size, options, log) },
                DistributionBench(options).measure(size) { log -> PollingFleet(size, log) },
            )
        }
    return DistributionReport(options.domains, options.changes, rows, slopesOf(rows))
}

private fun slopesOf(rows: List<DistributionRow>): List<Slope> =
    rows.groupBy { it.design }.flatMap { (design, same) ->
        val figures =
            mapOf<String, (DistributionRow) -> Double>(
                "idle bytes per node and s" to { it.idleBytesPerNodeSecond },
                "idle log reads/s" to { it.idleLogReadsPerSecond },
                "log reads per change" to { it.logReadsPerChange },
                "convergence p99 ms" to { it.convergenceP99Millis },
            )
        figures.map { (name, value) -> fitLine(design, name, same.map { it.nodes.toDouble() to value(it) }) }
    }

/** Measures one fleet against a new stand-in log. */
internal class DistributionBench(
    private val options: DistributionOptions,
) {
    private class Window(
        val seconds: Double,
        val bytes: Double,
        val reads: Long,
        val cpuSeconds: Double,
    )

    fun measure(
        size: Int,
        start: (Endpoint) -> BenchFleet,
    ): DistributionRow =
        StandInLog().use { standIn ->
            HttpPlatformLog(standIn.endpoint).use { log ->
                start(standIn.endpoint).use { fleet -> measure(size, fleet, log) }
            }
        }

    private fun measure(
        size: Int,
        fleet: BenchFleet,
        log: HttpPlatformLog,
    ): DistributionRow {
        await("${fleet.design} fleet of $size nodes") { fleet.isSettled() }
        pauseMillis(SETTLE_MILLIS)
        val idle = window(fleet) { pauseMillis(options.idleMillis) }
        val times = mutableListOf<Double>()
        val changing = window(fleet) { (1L..options.changes).forEach { times += publishChange(it, size, fleet, log) } }
        val sorted = times.sorted()
        return DistributionRow(
            design = fleet.design,
            nodes = size,
            convergenceP50Millis = quantile(sorted, 0.5),
            convergenceP99Millis = quantile(sorted, 0.99),
            convergenceMaxMillis = sorted.last(),
            idleBytesPerNodeSecond = idle.bytes / idle.seconds / size,
            changeBytesPerNodeSecond = changing.bytes / changing.seconds / size,
            idleLogReadsPerSecond = idle.reads / idle.seconds,
            logReadsPerChange = changing.reads.toDouble() / options.changes,
            cpuPercent = idle.cpuSeconds / idle.seconds / size * PERCENT,
        )
    }

    /**
     * Appends [version] to the log and returns, for each node, the milliseconds from sending the append to its arrival.
     */
    private fun publishChange(
        version: Long,
        size: Int,
        fleet: BenchFleet,
        log: HttpPlatformLog,
    ): List<Double> {
        val change = Change.PutMember(MemberId("member-$version"), MemberConfig("Member $version"))
        val record = LogRecord(WriterId("bench"), version, PatchRecord(version - 1, "bench", Patch(listOf(change))))
        val deadline = System.currentTimeMillis() + options.awaitTimeoutMillis
        // Taken before the append, because nodes can receive the record before the log's response arrives here.
        val sentNanos = System.nanoTime()
        log.append(StreamName.CONFIGURATION, listOf(record), deadline).fold({ }, { error("append failed: $it") })
        await("version $version") { fleet.arrivalsOf(version).size == size }
        pauseMillis(options.pauseMillis)
        return fleet.arrivalsOf(version).map { (it - sentNanos) / NANOS_PER_MILLI }
    }

    private fun window(
        fleet: BenchFleet,
        body: () -> Unit,
    ): Window {
        val cpu = ManagementFactory.getOperatingSystemMXBean() as OperatingSystemMXBean
        val startNanos = System.nanoTime()
        val (bytes, reads, cpuNanos) = Triple(fleet.sentBytes, fleet.logReads, cpu.processCpuTime)
        body()
        return Window(
            seconds = (System.nanoTime() - startNanos) / NANOS_PER_SECOND,
            bytes = fleet.sentBytes - bytes,
            reads = fleet.logReads - reads,
            cpuSeconds = (cpu.processCpuTime - cpuNanos) / NANOS_PER_SECOND,
        )
    }

    private fun await(
        what: String,
        condition: () -> Boolean,
    ) {
        val giveUpNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(options.awaitTimeoutMillis)
        while (!condition()) {
            check(System.nanoTime() < giveUpNanos) { "$what: not ready within ${options.awaitTimeoutMillis} ms" }
            pauseMillis(POLL_MILLIS)
        }
    }

    private fun pauseMillis(millis: Long) {
        val endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis)
        while (System.nanoTime() < endNanos) LockSupport.parkNanos(endNanos - System.nanoTime())
    }

    private fun quantile(
        sorted: List<Double>,
        quantile: Double,
    ): Double = sorted[(ceil(quantile * sorted.size).toInt() - 1).coerceIn(sorted.indices)]

    private companion object {
        const val SETTLE_MILLIS = 3_000L
        const val POLL_MILLIS = 5L
        const val NANOS_PER_MILLI = 1e6
        const val NANOS_PER_SECOND = 1e9
        const val PERCENT = 100.0
    }
}
