package dev.baobabhollow.bench.distribution

/**
 * Options of [runDistributionBench]. Each of [sizes] is a number of control planes in one process, spread over
 * [domains] failure domains. Traffic is measured for [idleMillis] without changes, then while [changes] patches are
 * published, with a pause of [pauseMillis] after each. [awaitTimeoutMillis] bounds the start of a fleet, each append
 * and the propagation of each patch.
 */
data class DistributionOptions(
    val sizes: List<Int> = listOf(8, 16, 32, 64),
    val domains: Int = 4,
    val idleMillis: Long = 15_000,
    val changes: Int = 20,
    val pauseMillis: Long = 500,
    val awaitTimeoutMillis: Long = 60_000,
    val seed: Long = 1,
)
