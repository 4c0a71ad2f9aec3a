package dev.baobabhollow.moves

import dev.baobabhollow.model.MoveEvidence

/** Next step of a move. */
sealed interface MoveDecision {
    /** Why this is the next step, for operators. */
    val reason: String

    /** Leaves the move as it is for now. */
    data class Hold(
        override val reason: String,
    ) : MoveDecision

    /** Raises the share of the new release to [sharePermille]. */
    data class Advance(
        val sharePermille: Int,
        override val reason: String,
        val evidence: MoveEvidence,
    ) : MoveDecision

    /** Returns all traffic to the old release and ends the move. */
    data class TakeBack(
        override val reason: String,
        val evidence: MoveEvidence,
    ) : MoveDecision

    /** Declares the move done. */
    data class Finish(
        override val reason: String,
        val evidence: MoveEvidence,
    ) : MoveDecision
}
