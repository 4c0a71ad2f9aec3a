package dev.baobabhollow.bench.claims

import com.github.michaelbull.result.get
import dev.baobabhollow.calls.CallerKey
import dev.baobabhollow.calls.IdempotencyKey
import dev.baobabhollow.model.WriterId
import dev.baobabhollow.platformlog.HttpPlatformLog
import dev.baobabhollow.proxy.claims.ClaimResult
import dev.baobabhollow.proxy.claims.ClaimsSettings
import dev.baobabhollow.proxy.claims.LogClaims
import dev.baobabhollow.standins.LogFaults
import dev.baobabhollow.standins.StandInLog
import dev.baobabhollow.standins.StandInLogOptions
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import org.HdrHistogram.ConcurrentHistogram
import java.io.PrintStream
import java.util.concurrent.Semaphore
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.LongAdder
import kotlin.concurrent.thread

/**
 * Options of [runClaimsBench]. Each of [nodes] keeps [callsInFlight] claims in flight; results are recorded for
 * [millis] after a warm-up of [warmUpMillis].
 *
 * Keys expire after 10 s. Once they fill the claim tables, only one claim per append is admitted until keys expire, so
 * a shorter run shows only that phase.
 */
data class ClaimsBenchOptions(
    val nodes: Int = 4,
    val callsInFlight: Int = 256,
    val warmUpMillis: Long = 2_000,
    val millis: Long = 8_000,
    val appendsPerSecond: Int = 300,
    val claims: ClaimsSettings = ClaimsSettings(),
)

/** Results of one run. Latencies are from claim to response, in milliseconds. */
@Serializable
data class ClaimsBenchResult(
    val nodes: Int,
    val callsInFlight: Int,
    val partitions: Int,
    val wonPerSecond: Double,
    val notRunPerSecond: Double,
    val appendsPerSecond: Double,
    val claimsPerAppend: Double,
    val p50Millis: Double,
    val p99Millis: Double,
)

/** Measures claims of new keys by several nodes against a stand-in log on loopback, and prints JSON and a table. */
fun runClaimsBench(
    options: ClaimsBenchOptions = ClaimsBenchOptions(),
    output: PrintStream = System.out,
): ClaimsBenchResult {
    val faults = LogFaults(appendsPerSecond = options.appendsPerSecond)
    val result = StandInLog(StandInLogOptions(faults = faults)).use { ClaimsBench(options, it).run() }
    output.println(Json.encodeToString(ClaimsBenchResult.serializer(), result))
    output.println("| nodes | in flight per node | won/s | not run/s | appends/s | claims/append | p50 ms | p99 ms |")
    output.println("| --- | --- | --- | --- | --- | --- | --- | --- |")
    output.println(
        "| %d | %d | %.0f | %.0f | %.0f | %.1f | %.1f | %.1f |".format(
            result.nodes,
            result.callsInFlight,
            result.wonPerSecond,
            result.notRunPerSecond,
            result.appendsPerSecond,
            result.claimsPerAppend,
            result.p50Millis,
            result.p99Millis,
        ),
    )
    return result
}

private class ClaimsBench(
    private val options: ClaimsBenchOptions,
    private val log: StandInLog,
) {
    private val won = LongAdder()
    private val notRun = LongAdder()
    private val latencyMicros = ConcurrentHistogram(TimeUnit.MINUTES.toMicros(1), 2)

    @Volatile
    private var measuring = false

    @Volatile
    private var stopped = false

    fun run(): ClaimsBenchResult {
        val clients = List(options.nodes) { HttpPlatformLog(log.endpoint) }
        val nodes = clients.mapIndexed { index, client -> LogClaims(client, WriterId("bench-$index"), options.claims) }
        val callers =
            nodes.mapIndexed { index, node -> thread(name = "caller-$index") { claimUntilStopped(index, node) } }
        Thread.sleep(options.warmUpMillis)
        val appendsBefore = nodes.sumOf { it.counters.appends }
        val startNanos = System.nanoTime()
        measuring = true
        Thread.sleep(options.millis)
        measuring = false
        val seconds = (System.nanoTime() - startNanos) / NANOS_PER_SECOND
        val appends = nodes.sumOf { it.counters.appends } - appendsBefore
        stopped = true
        callers.forEach { it.join() }
        nodes.forEach { it.close() }
        clients.forEach { it.close() }
        return result(seconds, appends)
    }

    private fun claimUntilStopped(
        node: Int,
        claims: LogClaims,
    ) {
        val permits = Semaphore(options.callsInFlight)
        var sequence = 0L
        while (!stopped) {
            permits.acquire()
            val startNanos = System.nanoTime()
            claims.claim(newKey("$node-${sequence++}"), System.currentTimeMillis() + CLAIM_MILLIS) {
                count(it, startNanos)
                permits.release()
            }
        }
    }

    private fun count(
        result: ClaimResult,
        startNanos: Long,
    ) {
        if (!measuring) return
        if (result is ClaimResult.Won) won.increment() else notRun.increment()
        latencyMicros.recordValue(TimeUnit.NANOSECONDS.toMicros(System.nanoTime() - startNanos))
    }

    private fun result(
        seconds: Double,
        appends: Long,
    ) = ClaimsBenchResult(
        nodes = options.nodes,
        callsInFlight = options.callsInFlight,
        partitions = options.claims.partitions,
        wonPerSecond = won.sum() / seconds,
        notRunPerSecond = notRun.sum() / seconds,
        appendsPerSecond = appends / seconds,
        claimsPerAppend = won.sum().toDouble() / appends.coerceAtLeast(1),
        p50Millis = latencyMicros.getValueAtPercentile(MEDIAN) / MICROS_PER_MILLI,
        p99Millis = latencyMicros.getValueAtPercentile(P99) / MICROS_PER_MILLI,
    )

    // Short-lived keys keep the claim tables of the nodes small, as with most real calls.
    private fun newKey(name: String): CallerKey {
        val deadlineMillis = System.currentTimeMillis() + KEY_MILLIS
        return IdempotencyKey.parse("$deadlineMillis-$name").get() as CallerKey
    }

    private companion object {
        const val CLAIM_MILLIS = 5_000L
        const val KEY_MILLIS = 10_000L
        const val NANOS_PER_SECOND = 1e9
        const val MICROS_PER_MILLI = 1e3
        const val MEDIAN = 50.0
        const val P99 = 99.0
    }
}
