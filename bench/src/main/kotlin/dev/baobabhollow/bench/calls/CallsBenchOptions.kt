package dev.baobabhollow.bench.calls

/** Options of [CallsBench]. All servers run in this process on loopback. */
data class CallsBenchOptions(
    /** Rate of the latency runs: half the capacity of a target with 12 slots and 5 ms per call. */
    val latencyCallsPerSecond: Int = 1_200,
    val latencyRounds: Int = 5,
    val latencySeconds: Int = 3,
    val warmUpSeconds: Int = 6,
    /** Loads of the overload runs, as multiples of the total capacity of the targets. */
    val loadFactors: List<Double> = listOf(0.5, 1.0, 2.0, 5.0),
    val overloadSeconds: Int = 5,
    val targets: Int = 4,
    val slots: Int = 6,
    val serviceMillis: Long = 20,
    /** Service time of the slow target in the runs that have one. */
    val slowServiceMillis: Long = 200,
    /** Deadline of each call; later responses do not count towards goodput. */
    val deadlineMillis: Long = 250,
    /** Numbers of requests that a pipelining caller sends at once. */
    val pipelineDepths: List<Int> = listOf(1, 4),
    val pipelineRounds: Int = 100,
    /** Callers that read a response of [longResponseBytes] in chunks of 16 KB with [slowReadPauseMillis] in between. */
    val slowReaders: Int = 100,
    val longResponseBytes: Int = 2_000_000,
    val slowReadPauseMillis: Long = 25,
    val generatorLoops: Int = 2,
    val eventLoopsPerNode: Int = 1,
    val seed: Long = 1,
)

/** Bounds set by the requirements. */
object CallsObjectives {
    const val ADDED_P99_MILLIS = 0.45
    const val GOODPUT_AT_OVERLOAD = 0.9
}
