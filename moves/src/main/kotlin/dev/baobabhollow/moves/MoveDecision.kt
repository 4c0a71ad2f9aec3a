package dev.baobabhollow.moves

import dev.baobabhollow.model.MoveEvidence

/** Says what to do with a move next. */
sealed interface MoveDecision {
    /** Changes nothing for now. */
    data class Hold(
        val reason: String,
    ) : MoveDecision

    /** Raises the share of the new release to [sharePermille]. */
    data class Advance(
        val sharePermille: Int,
        val reason: String,
        val evidence: MoveEvidence,
    ) : MoveDecision

    /** Takes all traffic from the new release for good. */
    data class TakeBack(
        val reason: String,
        val evidence: MoveEvidence,
    ) : MoveDecision

    /** Declares the move done. */
    data class Finish(
        val reason: String,
        val evidence: MoveEvidence,
    ) : MoveDecision
}
