package dev.baobabhollow.bench.calls

import java.lang.management.ManagementFactory

/** Measures the latency that nodes add to calls, and the goodput when the load exceeds the capacity of the targets. */
class CallsBench(
    private val options: CallsBenchOptions,
) {
    /** Runs all measurements; takes about two minutes with default options. */
    fun run(): CallsReport {
        val connections = ConnectionsBench(options)
        val pipelining = connections.measurePipelining()
        return CallsReport(measureLatency(), measureOverload(), pipelining, connections.measureSlowReaders())
    }

    /**
     * Measures calls sent directly to a target, through its owner node, and through an entry node and the owner node.
     */
    fun measureLatency(): List<LatencyRow> =
        BenchTarget(options.slots, 0).use { target ->
            BenchMesh(listOf(target), options, hasEntry = true).use { mesh ->
                val paths =
                    listOf(
                        LatencyPath("straight", target.port),
                        LatencyPath("one hop", mesh.ownerPorts.single()),
                        LatencyPath("two hops", mesh.entryPort),
                    )
                LoadGenerator(
                    options.generatorLoops,
                    LATENCY_DEADLINE_MILLIS,
                    options.seed,
                ).use { measurePaths(it, paths) }
            }
        }

    private fun measurePaths(
        generator: LoadGenerator,
        paths: List<LatencyPath>,
    ): List<LatencyRow> {
        val rate = options.latencyCallsPerSecond.toDouble()
        paths.forEach { generator.run(listOf(it.port), rate * WARM_UP_FACTOR, options.warmUpSeconds) }
        repeat(options.latencyRounds) {
            paths.forEach { path ->
                val cpuBefore = nodeCpuNanos()
                path.rounds += generator.run(listOf(path.port), rate, options.latencySeconds)
                path.cpuNanos += nodeCpuNanos() - cpuBefore
            }
        }
        return paths.map { it.row(paths.first()) }
    }

    /** Measures goodput at each load, with and without a slow target, through the nodes and without them (baseline). */
    fun measureOverload(): List<OverloadRow> =
        listOf(false, true).flatMap { hasSlowTarget ->
            val suffix = if (hasSlowTarget) ", slow target" else ""
            listOf(
                CallsReport.BASELINE,
                "nodes",
            ).flatMap { measureLoads(it + suffix, it == CallsReport.BASELINE, hasSlowTarget) }
        }

    private fun measureLoads(
        scenario: String,
        isBaseline: Boolean,
        hasSlowTarget: Boolean,
    ): List<OverloadRow> {
        val serviceMillis =
            List(options.targets) {
                if (hasSlowTarget &&
                    it == 0
                ) {
                    options.slowServiceMillis
                } else {
                    options.serviceMillis
                }
            }
        val capacity = serviceMillis.sumOf { options.slots * MILLIS_PER_SECOND / it }
        val results = options.loadFactors.map { it to measureLoad(serviceMillis, isBaseline, capacity * it) }
        val peak = results.maxOf { it.second.good }.coerceAtLeast(1)
        return results.map { (factor, result) -> overloadRow(scenario, factor, result, peak) }
    }

    private fun measureLoad(
        serviceMillis: List<Long>,
        isBaseline: Boolean,
        callsPerSecond: Double,
    ): LoadResult {
        val targets = serviceMillis.map { BenchTarget(options.slots, it) }
        return BenchMesh(targets, options, hasEntry = false).use { mesh ->
            val ports = if (isBaseline) targets.map { it.port } else mesh.ownerPorts
            val result =
                LoadGenerator(options.generatorLoops, options.deadlineMillis, options.seed).use {
                    it.run(ports, callsPerSecond, 1)
                    it.run(ports, callsPerSecond, options.overloadSeconds)
                }
            targets.forEach { it.close() }
            result
        }
    }

    private fun overloadRow(
        scenario: String,
        factor: Double,
        result: LoadResult,
        peak: Long,
    ): OverloadRow {
        val seconds = options.overloadSeconds.toDouble()
        return OverloadRow(
            scenario,
            factor,
            result.offered / seconds,
            result.good / seconds,
            result.refused / seconds,
            result.failed / seconds,
            result.latency.getValueAtPercentile(P99) / NANOS_PER_MILLI,
            result.good.toDouble() / peak,
        )
    }

    /** Returns the total CPU time of the event loops of all nodes in this process. */
    private fun nodeCpuNanos(): Long {
        val threads = ManagementFactory.getThreadMXBean()
        return threads
            .getThreadInfo(threads.allThreadIds)
            .filter { it != null && it.threadName.startsWith("proxy") }
            .sumOf { threads.getThreadCpuTime(it.threadId).coerceAtLeast(0) }
    }

    private class LatencyPath(
        val name: String,
        val port: Int,
    ) {
        val rounds = mutableListOf<LoadResult>()
        var cpuNanos = 0L

        fun row(direct: LatencyPath): LatencyRow {
            val all = LoadResult().also { sum -> rounds.forEach(sum::add) }
            val base = LoadResult().also { sum -> direct.rounds.forEach(sum::add) }
            val medianAdded = rounds.zip(direct.rounds) { own, other -> own.millis(P99) - other.millis(P99) }.sorted()
            return LatencyRow(
                name,
                all.offered,
                all.offered - all.good,
                all.millis(P50),
                all.millis(P99),
                all.millis(P999),
                all.millis(P50) - base.millis(P50),
                all.millis(P99) - base.millis(P99),
                medianAdded[medianAdded.size / 2],
                if (this === direct) null else all.offered * NANOS_PER_SECOND / cpuNanos.coerceAtLeast(1),
            )
        }

        private fun LoadResult.millis(percentile: Double) = latency.getValueAtPercentile(percentile) / NANOS_PER_MILLI
    }

    private companion object {
        const val P50 = 50.0
        const val P99 = 99.0
        const val P999 = 99.9
        const val NANOS_PER_MILLI = 1e6
        const val NANOS_PER_SECOND = 1e9
        const val MILLIS_PER_SECOND = 1_000.0
        const val WARM_UP_FACTOR = 3.0
        const val LATENCY_DEADLINE_MILLIS = 5_000L
    }
}

/** Runs the benchmark with default options and prints tables and JSON. Exits with 1 if an objective is missed. */
fun main() {
    val report = CallsBench(CallsBenchOptions()).run()
    println(report.toTable())
    println(report.toJson())
    if (!report.meetsObjectives) kotlin.system.exitProcess(1)
}
