package dev.baobabhollow.bench.distribution

import kotlinx.serialization.json.Json

private val JSON = Json { prettyPrint = true }

/** Runs the benchmark with the fleet sizes given as arguments, or the default sizes, and prints a table and JSON. */
fun main(args: Array<String>) {
    val options = DistributionOptions()
    val sizes = args.map { it.toInt() }.ifEmpty { options.sizes }
    val report = runDistributionBench(options.copy(sizes = sizes))
    println(renderDistributionReport(report))
    println(JSON.encodeToString(DistributionReport.serializer(), report))
}
