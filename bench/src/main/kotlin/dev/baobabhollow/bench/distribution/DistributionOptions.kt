package dev.baobabhollow.bench.distribution

/**
 * Sets a run: numbers of control planes in one process ([sizes]), spread over [domains] failure domains, the length of the
 * idle measurement, and [changes] patches that are published [pauseMillis] apart.
 */
data class DistributionOptions(
    val sizes: List<Int> = listOf(8, 16, 32, 64),
    val domains: Int = 4,
    val idleMillis: Long = 15_000,
    val changes: Int = 20,
    val pauseMillis: Long = 500,
    val startTimeoutMillis: Long = 60_000,
    val seed: Long = 1,
)
