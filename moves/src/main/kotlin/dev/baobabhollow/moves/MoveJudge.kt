package dev.baobabhollow.moves

import dev.baobabhollow.model.MoveState
import dev.baobabhollow.model.OutcomeSummary

/**
 * Decides on the progress of one move from the outcomes of real calls. Not thread-safe.
 *
 * A judge may be created at any stage of a move, because another node takes over when the judging node fails.
 */
interface MoveJudge {
    /** Adds outcomes of either release of the move. Ignores other outcomes and repeated summaries. */
    fun observe(summary: OutcomeSummary)

    /** Returns the decision on [move] at [nowMillis]. The same inputs always give the same decision. */
    fun decide(
        move: MoveState,
        nowMillis: Long,
    ): MoveDecision
}
