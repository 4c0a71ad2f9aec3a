package dev.baobabhollow.cli.demo

import dev.baobabhollow.model.NodeId
import dev.baobabhollow.model.PatchVerdict
import dev.baobabhollow.node.MoveDocument
import dev.baobabhollow.standins.TargetStats

/**
 * Measurements of a demo run. [convergence] maps versions to milliseconds, or to null if a node did not get the
 * version.
 */
internal data class DemoResult(
    val nodes: Int,
    val verdicts: List<PatchVerdict>,
    val convergence: Map<Long, Long?>,
    val invalidVerdict: PatchVerdict,
    val conflictVerdict: PatchVerdict,
    val winner: String,
    val versionAfterInvalid: Long,
    val controlBytesPerSecond: Map<NodeId, Double>,
    val calls: List<CallRecord>,
    val targets: Map<NodeId, TargetStats>,
    val goodMove: MoveDocument,
    val badMove: MoveDocument,
    val badTargets: Set<NodeId>,
    val movesStartedAtMillis: Long,
    val stop: StopResult,
    val stepsBack: List<String>,
    val polls: Int,
)

/** Result of a planned stop. [lateExecutions] counts calls that began later than a leaving target may get new work. */
internal data class StopResult(
    val node: NodeId,
    val exitCode: Int?,
    val millis: Long,
    val lateExecutions: Long,
)

/** Whether a promise held, with the figures behind it. */
internal data class PromiseCheck(
    val promise: String,
    val held: Boolean,
    val figures: String,
)
