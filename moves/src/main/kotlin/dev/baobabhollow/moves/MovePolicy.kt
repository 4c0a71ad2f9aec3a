package dev.baobabhollow.moves

import dev.baobabhollow.model.MovePriority

/**
 * Settings that control how a move is judged and how fast traffic shifts.
 *
 * [falseAlarmRate] bounds the probability that one judge takes back a release that is no worse than the old one.
 * [rampPermille] lists the shares of the new release before the full share; the first applies while it is unproven.
 * A release is proven after [provenCalls] calls in total and [provenRouteCalls] calls on each route; [minProvenCalls]
 * calls in total suffice once the proving time ([provingShare] of the time to the deadline) is over.
 * Each further share needs [stepCalls] calls and [stepMillis]. [marginShare] of the time to the deadline is a safety
 * margin.
 *
 * [windowMillis] is the length of the time windows in which the releases are compared, and [graceMillis] the wait for
 * late summaries. Latencies of a target count after its first [warmUpCalls] calls and [warmUpMillis]. Errors are a fault
 * only from a share of [minErrorShare] of the calls. The comparison of both releases tolerates odds of an error or a
 * slow call up to [errorOddsTolerance] or [latencyOddsTolerance] times those of the old release. A domain counts as
 * shedding load if it sheds more than [shedShare] of its calls.
 */
data class MovePolicy(
    val priority: MovePriority,
    val falseAlarmRate: Double = 0.001,
    val rampPermille: List<Int> = listOf(UNPROVEN_PERMILLE, 50, 150, 400, 800),
    val provenCalls: Long = 300,
    val provenRouteCalls: Long = 20,
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
        require(falseAlarmRate > 0 && falseAlarmRate < 1) {
            "falseAlarmRate: $falseAlarmRate is not above 0 and below 1"
        }
        require(rampPermille.isNotEmpty()) { "rampPermille: expected at least one share, was empty" }
        require(rampPermille.first() in 1..UNPROVEN_PERMILLE) {
            "rampPermille: expected a first share in 1..$UNPROVEN_PERMILLE, was ${rampPermille.first()}"
        }
        require(rampPermille.zipWithNext().all { (low, high) -> low < high }) {
            "rampPermille: expected rising shares, was $rampPermille"
        }
        require(rampPermille.last() < FULL_PERMILLE) {
            "rampPermille: expected a last share below $FULL_PERMILLE, was ${rampPermille.last()}"
        }
        require(windowMillis > 0 && stepMillis > 0) { "windowMillis and stepMillis must be positive" }
        require(provingShare + marginShare < 1) { "provingShare and marginShare leave no time for the ramp" }
    }

    /** Presets. */
    companion object {
        /** Highest share of a release that has too few calls to reveal a fault, in permille. */
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

/** Returns the preset for [priority] with the settings that [change] sets. */
fun movePolicy(
    priority: MovePriority,
    change: MovePolicyBuilder.() -> Unit = {},
): MovePolicy = MovePolicyBuilder(MovePolicy.of(priority)).apply(change).build()

/** Builder that changes single settings of a preset. */
class MovePolicyBuilder internal constructor(
    private val preset: MovePolicy,
) {
    /** Probability of taking back a good release. */
    var falseAlarmRate: Double = preset.falseAlarmRate

    /** Shares of the new release before the full share, in permille. */
    var rampPermille: List<Int> = preset.rampPermille

    /** Calls in total after which a release is proven. */
    var provenCalls: Long = preset.provenCalls

    /** Shortest time at one share, in milliseconds. */
    var stepMillis: Long = preset.stepMillis

    /** Length of the time windows in which the releases are compared, in milliseconds. */
    var windowMillis: Long = preset.windowMillis

    /** First calls of a target whose latencies do not count. */
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
