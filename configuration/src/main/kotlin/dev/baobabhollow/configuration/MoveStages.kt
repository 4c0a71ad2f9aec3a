package dev.baobabhollow.configuration

import dev.baobabhollow.model.ConfigurationState
import dev.baobabhollow.model.FULL_SHARE_PERMILLE
import dev.baobabhollow.model.LogEntry
import dev.baobabhollow.model.MovePhase
import dev.baobabhollow.model.MoveStageRecord
import dev.baobabhollow.model.MoveState

/**
 * Applies a proposed stage. The first legal record that follows the current stage is accepted and all others are
 * ignored, so that several nodes may propose stages of the same move concurrently.
 */
internal fun foldMoveStage(
    state: ConfigurationState,
    entry: LogEntry,
    record: MoveStageRecord,
): ConfigurationState {
    val move = state.moves[record.move] ?: return state
    if (record.follows != move.stage || !isLegalStage(move, record, entry.appendedAtMillis)) return state
    val next =
        move.copy(
            stage = move.stage + 1,
            phase = record.phase,
            sharePermille = record.sharePermille,
            reason = record.reason,
            evidence = record.evidence,
            stageAtMillis = entry.appendedAtMillis,
            fullShareAtMillis = fullShareTime(move, record, entry.appendedAtMillis),
        )
    return finishMove(state.copy(moves = state.moves + (record.move to next)), next)
}

private fun fullShareTime(
    move: MoveState,
    record: MoveStageRecord,
    nowMillis: Long,
): Long? = if (record.phase == MovePhase.WATCHING) nowMillis else move.fullShareAtMillis

private fun isLegalStage(
    move: MoveState,
    record: MoveStageRecord,
    nowMillis: Long,
): Boolean =
    when (record.phase) {
        MovePhase.RAMPING -> {
            move.phase == MovePhase.RAMPING &&
                record.sharePermille in 0 until FULL_SHARE_PERMILLE &&
                nowMillis >= move.plan.startAtMillis
        }

        MovePhase.WATCHING -> {
            move.phase == MovePhase.RAMPING &&
                record.sharePermille == FULL_SHARE_PERMILLE &&
                nowMillis >= move.plan.startAtMillis
        }

        MovePhase.DONE -> {
            move.phase == MovePhase.WATCHING &&
                record.sharePermille == FULL_SHARE_PERMILLE &&
                nowMillis >= move.plan.watchUntilMillis
        }

        MovePhase.TAKEN_BACK -> {
            !move.phase.isFinal && record.sharePermille == 0
        }
    }

private fun finishMove(
    state: ConfigurationState,
    move: MoveState,
): ConfigurationState {
    if (!move.phase.isFinal) return state
    val current =
        if (move.phase == MovePhase.DONE) {
            state.currentReleases + (move.plan.service to move.plan.to)
        } else {
            state.currentReleases
        }
    return state.copy(currentReleases = current, moves = dropOldMoves(state))
}

private fun dropOldMoves(state: ConfigurationState) =
    state.moves.entries
        .filter { it.value.phase.isFinal }
        .sortedBy { it.value.stageAtMillis }
        .dropLast(KEPT_FINISHED_MOVES)
        .fold(state.moves) { moves, old -> moves - old.key }
