package dev.baobabhollow.moves

import dev.baobabhollow.model.MovePriority

/**
 * Sets how a move is judged and how fast traffic moves.
 *
 * [falseAlarmRate] bounds the probability that one judge takes back a release that is no worse than the old one.
 * [rampPermille] lists the shares of the new release before the full share; the first applies while it is unproven.
 * [provenCalls] calls in all, [provenRouteCalls] calls on each route and [provenTimedCalls] calls after warm-up make a release proven; [minProvenCalls] in all are
 * enough when the time for proving ([provingShare] of the time to the deadline) is over. [stepCalls] calls and
 * [stepMillis] are needed at each further share. [marginShare] of the time to the deadline is kept free.
 * [windowMillis] is the length of the time windows in which the releases are compared, [graceMillis] the wait for late
 * summaries. Latencies of a target count after its first [warmUpCalls] calls and [warmUpMillis].
 */
data class MovePolicy(
    val priority: MovePriority,
    val falseAlarmRate: Double = 0.001,
    val rampPermille: List<Int> = listOf(UNPROVEN_PERMILLE, 50, 150, 400, 800),
    val provenCalls: Long = 300,
    val provenRouteCalls: Long = 20,
    val provenTimedCalls: Long = 100,
    val minProvenCalls: Long = 30,
    val provingShare: Double = 0.75,
    val stepCalls: Long = 100,
    val stepMillis: Long = 5_000,
    val marginShare: Double = 0.1,
    val windowMillis: Long = 1_000,
    val graceMillis: Long = 400,
    val warmUpCalls: Long = 60,
    val warmUpMillis: Long = 10_000,
    val minErrorShare: Double = 0.003,
    val errorOddsTolerance: Double = 1.5,
    val latencyOddsTolerance: Double = 2.0,
    val shedShare: Double = 0.02,
) {
    init {
        require(falseAlarmRate > 0 && falseAlarmRate < 1) { "falseAlarmRate: $falseAlarmRate is not in 0..1" }
        require(rampPermille.isNotEmpty()) { "rampPermille: empty" }
        require(rampPermille.first() in 1..UNPROVEN_PERMILLE) {
            "rampPermille: first share ${rampPermille.first()} is above $UNPROVEN_PERMILLE"
        }
        require(rampPermille.zipWithNext().all { (low, high) -> low < high }) { "rampPermille: not rising" }
        require(rampPermille.last() < FULL_PERMILLE) { "rampPermille: last share is not below $FULL_PERMILLE" }
        require(windowMillis > 0 && stepMillis > 0) { "windowMillis and stepMillis must be positive" }
        require(provingShare + marginShare < 1) { "provingShare and marginShare leave no time for the ramp" }
    }

    /** Holds the presets. */
    companion object {
        /** Highest share of a release whose fault could not be seen yet, in permille. */
        const val UNPROVEN_PERMILLE = 10
        private const val FULL_PERMILLE = 1_000

        /** Returns the preset for [priority]. */
        fun of(priority: MovePriority): MovePolicy =
            when (priority) {
                MovePriority.TAKE_BACK -> {
                    MovePolicy(priority)
                }

                MovePriority.COMPLETION -> {
                    MovePolicy(
                        priority,
                        rampPermille = listOf(UNPROVEN_PERMILLE, 30, 100, 400, 800),
                        provenCalls = 200,
                        provingShare = 0.5,
                        marginShare = 0.2,
                    )
                }
            }
    }
}

/** Builds a policy from the preset for [priority]. */
fun movePolicy(
    priority: MovePriority,
    change: MovePolicyBuilder.() -> Unit = {},
): MovePolicy = MovePolicyBuilder(MovePolicy.of(priority)).apply(change).build()

/** Changes single settings of a preset. */
class MovePolicyBuilder internal constructor(
    private val preset: MovePolicy,
) {
    /** Probability of taking back a good release. */
    var falseAlarmRate: Double = preset.falseAlarmRate

    /** Shares before the full share, in permille. */
    var rampPermille: List<Int> = preset.rampPermille

    /** Calls that make a release proven. */
    var provenCalls: Long = preset.provenCalls

    /** Shortest time at one share, in milliseconds. */
    var stepMillis: Long = preset.stepMillis

    /** Length of the time windows, in milliseconds. */
    var windowMillis: Long = preset.windowMillis

    /** Calls of a new target whose latencies do not count. */
    var warmUpCalls: Long = preset.warmUpCalls

    internal fun build(): MovePolicy =
        preset.copy(
            falseAlarmRate = falseAlarmRate,
            rampPermille = rampPermille,
            provenCalls = provenCalls,
            stepMillis = stepMillis,
            windowMillis = windowMillis,
            warmUpCalls = warmUpCalls,
        )
}
