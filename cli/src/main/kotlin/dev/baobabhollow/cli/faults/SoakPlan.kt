package dev.baobabhollow.cli.faults

import dev.baobabhollow.cli.demo.DemoNode
import kotlin.random.Random

/** Faults that a soak injects into processes and connections, with the actions that begin and end them at a node. */
internal enum class SoakFault(
    val begin: (FaultCluster, DemoNode) -> Unit,
    val end: (FaultCluster, DemoNode) -> Unit,
    /** True if the fault hits the process of one node. */
    val hitsNode: Boolean = false,
    /** True if the process restarts and so loses its state. */
    val restarts: Boolean = false,
) {
    KILL({
        cluster,
        node,
        ->
        cluster.kill(node)
    }, { cluster, node -> cluster.restart(node) }, hitsNode = true, restarts = true),

    /** Before the restart, [Soak] waits for the exit of the process. */
    PLANNED_STOP(
        { cluster, node -> cluster.signal(node, "TERM") },
        { cluster, node -> cluster.restart(node) },
        hitsNode = true,
        restarts = true,
    ),
    PAUSE(
        { cluster, node -> cluster.signal(node, "STOP") },
        { cluster, node -> cluster.signal(node, "CONT") },
        hitsNode = true,
    ),
    FREEZE_TARGET(atTarget("{\"freeze\":true}"), atTarget(NO_TARGET_FAULTS), hitsNode = true),
    TRUNCATE_ANSWERS(atTarget("{\"truncatePermille\":400}"), atTarget(NO_TARGET_FAULTS), hitsNode = true),
    CUT_LOG({ cluster, _ -> cluster.relay.isCut = true }, { cluster, _ -> cluster.relay.isCut = false }),
    SILENCE_LOG({ cluster, _ -> cluster.relay.isSilent = true }, { cluster, _ -> cluster.relay.isSilent = false }),
    DELAY_LOG(
        { cluster, _ -> cluster.relay.delayMillis = LOG_DELAY_MILLIS },
        { cluster, _ -> cluster.relay.delayMillis = 0 },
    ),
    RESET_LOG({ cluster, _ -> cluster.relay.reset() }, { _, _ -> }),
    LOG_OUTAGE(atLog("{\"outage\":true}"), atLog("{\"outage\":false}")),
    SLOW_LOG(atLog("{\"slowMillis\":400}"), atLog("{\"slowMillis\":0}")),
    LOSE_LOG_ANSWERS(atLog("{\"loseAnswersPermille\":400}"), atLog("{\"loseAnswersPermille\":0}")),
    CUT_DOMAINS({ cluster, _ -> cutDomains(cluster) }, { cluster, _ -> joinDomains(cluster) }),
}

private const val LOG_DELAY_MILLIS = 120L

private fun atTarget(faults: String) =
    { cluster: FaultCluster, node: DemoNode -> cluster.post(node.target, "/faults", faults) }

/** Changes only the faults named in [faults], because others of the log may still be active. */
private fun atLog(faults: String) =
    { cluster: FaultCluster, _: DemoNode -> cluster.post(cluster.log, "/faults", faults) }

/**
 * [fault] from [startMillis] to [endMillis] after the start of the soak; [node] is the index of the affected node, if
 * any.
 */
internal data class SoakStep(
    val fault: SoakFault,
    val startMillis: Long,
    val endMillis: Long,
    val node: Int,
)

/**
 * Draws faults at random from [seed]; faults may overlap, but not two of one kind and not two of one node. The first
 * [WATCHED_NODES] of [nodes] are never restarted, so that a decrease of their version is a violation.
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
    val isSameSubject =
        if (next.fault.hitsNode) {
            earlier.fault.hitsNode && earlier.node == next.node
        } else {
            earlier.fault ==
                next.fault
        }
    return isSameSubject && earlier.endMillis + PAUSE_MILLIS > next.startMillis
}

/** Nodes at the start of the list that are never restarted. */
internal const val WATCHED_NODES = 2

/**
 * Upper limit of the random gap between faults. Short, so that several are active at a time and one hits nodes that
 * another has weakened.
 */
private const val MAX_GAP_MILLIS = 1_200L
private const val MIN_LENGTH_MILLIS = 300L

/** Longer than the timeouts after which nodes suspect each other and give up on the log. */
private const val MAX_LENGTH_MILLIS = 5_000L
private const val PAUSE_MILLIS = 200L
