package dev.baobabhollow.cli.demo

import dev.baobabhollow.model.NodeId
import dev.baobabhollow.model.PatchVerdict
import dev.baobabhollow.node.MoveDocument
import dev.baobabhollow.standins.TargetStats

/** Holds what a demo has measured. Times are in milliseconds. */
internal data class DemoResult(
    val nodes: Int,
    val verdicts: List<PatchVerdict>,
    val convergence: Map<Long, Long?>,
    val broken: PatchVerdict,
    val loser: PatchVerdict,
    val winner: String,
    val versionAfterBroken: Long,
    val controlBytesPerSecond: Map<NodeId, Double>,
    val calls: List<CallRecord>,
    val targets: Map<NodeId, TargetStats>,
    val goodMove: MoveDocument,
    val badMove: MoveDocument,
    val badTargets: Set<NodeId>,
    val movesStartedAtMillis: Long,
    val stop: StopResult,
    val stepsBack: List<String>,
    val looks: Int,
)

/** Holds what was seen of a planned stop. [lateExecutions] are those that began after the bound for leaving targets. */
internal data class StopResult(
    val node: NodeId,
    val exitCode: Int?,
    val millis: Long,
    val lateExecutions: Long,
)

/** Tells whether a promise was held, and by which figures. */
internal data class PromiseCheck(
    val promise: String,
    val held: Boolean,
    val figures: String,
)
