package dev.baobabhollow.moves

import dev.baobabhollow.model.MoveState
import dev.baobabhollow.model.OutcomeSummary

/**
 * Judges one move by the outcomes of real calls. Not safe for use by several threads.
 *
 * A judge may be created at any stage of a move, since a node takes over when the one that judged before is gone.
 */
interface MoveJudge {
    /** Takes in outcomes of either release of the move; others are ignored. Summaries that arrive twice count once. */
    fun observe(summary: OutcomeSummary)

    /** Decides on [move] at [nowMillis]. The same inputs always lead to the same decision. */
    fun decide(
        move: MoveState,
        nowMillis: Long,
    ): MoveDecision
}
