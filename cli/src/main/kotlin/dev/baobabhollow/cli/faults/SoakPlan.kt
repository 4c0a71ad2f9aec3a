package dev.baobabhollow.cli.faults

import kotlin.random.Random

/** Names what a soak does to processes and connections from outside. */
internal enum class SoakFault(
    /** True if the fault hits the process of one node. */
    val hitsNode: Boolean = false,
    /** True if the process starts anew, with an empty memory. */
    val restarts: Boolean = false,
) {
    KILL(hitsNode = true, restarts = true),
    PLANNED_STOP(hitsNode = true, restarts = true),
    PAUSE(hitsNode = true),
    FREEZE_TARGET(hitsNode = true),
    TRUNCATE_ANSWERS(hitsNode = true),
    CUT_LOG,
    SILENCE_LOG,
    DELAY_LOG,
    RESET_LOG,
    LOG_OUTAGE,
    SLOW_LOG,
    LOSE_LOG_ANSWERS,
    CUT_DOMAINS,
}

/** Lets [fault] last from [startMillis] until [endMillis] of the soak, at the node of that index if it hits one. */
internal data class SoakStep(
    val fault: SoakFault,
    val startMillis: Long,
    val endMillis: Long,
    val node: Int,
)

/**
 * Draws faults that overlap and come in series, the same for the same [seed]. Only the last nodes of [nodes] are restarted, so
 * that steps back can be seen on the others. No two faults of one kind, or of one node's process, overlap.
 */
internal fun soakPlan(
    seed: Long,
    spanMillis: Long,
    nodes: Int,
): List<SoakStep> {
    val random = Random(seed)
    val steps = mutableListOf<SoakStep>()
    var start = random.nextLong(MAX_GAP_MILLIS)
    while (start < spanMillis) {
        val fault = SoakFault.entries.random(random)
        val node = if (fault.restarts) random.nextInt(WATCHED_NODES, nodes) else random.nextInt(nodes)
        val step = SoakStep(fault, start, start + random.nextLong(MIN_LENGTH_MILLIS, MAX_LENGTH_MILLIS), node)
        if (steps.none { conflicts(it, step) }) steps += step
        start += random.nextLong(MAX_GAP_MILLIS)
    }
    return steps
}

private fun conflicts(
    earlier: SoakStep,
    next: SoakStep,
): Boolean {
    val isSame =
        if (next.fault.hitsNode) {
            earlier.fault.hitsNode && earlier.node == next.node
        } else {
            earlier.fault ==
                next.fault
        }
    return isSame && earlier.endMillis + PAUSE_MILLIS > next.startMillis
}

/** Nodes at the start of the list that are never restarted. */
internal const val WATCHED_NODES = 2

/** Mean half of it between faults: several last at any time, and some hit what another has just weakened. */
private const val MAX_GAP_MILLIS = 1_200L
private const val MIN_LENGTH_MILLIS = 300L

/** Longer than the times after which nodes suspect each other and give up on the log. */
private const val MAX_LENGTH_MILLIS = 5_000L
private const val PAUSE_MILLIS = 200L
