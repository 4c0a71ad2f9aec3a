package dev.baobabhollow.configuration

import com.github.michaelbull.result.fold
import dev.baobabhollow.model.ClaimsRecord
import dev.baobabhollow.model.ConfigurationRecord
import dev.baobabhollow.model.ConfigurationState
import dev.baobabhollow.model.EvacuationRecord
import dev.baobabhollow.model.EvacuationSetRecord
import dev.baobabhollow.model.LogEntry
import dev.baobabhollow.model.LogPosition
import dev.baobabhollow.model.MeshChangeRecord
import dev.baobabhollow.model.MoveOrder
import dev.baobabhollow.model.MoveOrderRecord
import dev.baobabhollow.model.MoveStageRecord
import dev.baobabhollow.model.PatchRecord
import dev.baobabhollow.model.PatchResult
import dev.baobabhollow.model.PatchVerdict
import dev.baobabhollow.model.SnapshotRecord
import dev.baobabhollow.model.UnreadableRecord
import dev.baobabhollow.model.WriterState
import dev.baobabhollow.model.orderedMoveId

/** Maximum number of patch verdicts in a state. */
const val KEPT_VERDICTS = 256

/** Maximum number of finished moves that a state retains for reports. */
const val KEPT_FINISHED_MOVES = 64

/**
 * Time in milliseconds of the platform's clock after which the state drops a writer that has appended nothing. It must
 * exceed [APPEND_RETRY_LIMIT_MILLIS]; otherwise a retried append could take effect twice.
 */
const val WRITER_RETENTION_MILLIS = 3_600_000L

/** Time in milliseconds for which a writer may retry an append whose outcome is unknown. */
const val APPEND_RETRY_LIMIT_MILLIS = 600_000L

/**
 * Returns the state after [entry]. The function is pure, so every reader of the log reaches the same versions, verdicts
 * and move stages. Entries at or below the offset of [state] are ignored.
 */
fun fold(
    state: ConfigurationState,
    entry: LogEntry,
): ConfigurationState {
    if (entry.offset <= state.offset) return state
    when (val body = entry.record.body) {
        is ConfigurationRecord -> return foldConfiguration(state, entry, body)

        is MoveOrderRecord -> return foldOrder(state, entry, body)

        is EvacuationRecord, is EvacuationSetRecord -> return foldEvacuation(state, entry.offset, body)

        // Only nodes send mesh changes to each other, and replicas decode them before the fold. One that is stored in
        // the log is therefore ignored like an unreadable record.
        is MeshChangeRecord, is UnreadableRecord -> return state.copy(offset = entry.offset)

        else -> Unit
    }
    val advanced = state.copy(offset = entry.offset, lastAppendedAtMillis = entry.appendedAtMillis)
    if (isDuplicate(state, entry)) return advanced
    val updated = advanced.copy(writers = updatedWriters(state, entry))
    return when (val body = entry.record.body) {
        is PatchRecord -> foldPatch(updated, entry, body)
        is MoveStageRecord -> foldMoveStage(updated, entry, body)
        is SnapshotRecord -> updated.copy(snapshotOffset = entry.offset, snapshotAtMillis = entry.appendedAtMillis)
        is ClaimsRecord, is ConfigurationRecord, is MoveOrderRecord, is MeshChangeRecord, is UnreadableRecord -> updated
        is EvacuationRecord, is EvacuationSetRecord -> updated
    }
}

/**
 * Only the newest configuration and the newest order of each service affect the state, so a log that is compacted to
 * the newest record of each key gives the same state as the full log.
 */
private fun foldConfiguration(
    state: ConfigurationState,
    entry: LogEntry,
    record: ConfigurationRecord,
): ConfigurationState {
    // In a later era the held version may be one that the log has lost and that is written again.
    val isWrittenAgain = state.era > 0 && record.version == state.version
    if (record.version <= state.version && !isWrittenAgain) return state.copy(offset = entry.offset)
    return state.copy(offset = entry.offset, version = record.version, mesh = record.mesh)
}

private fun foldOrder(
    state: ConfigurationState,
    entry: LogEntry,
    record: MoveOrderRecord,
): ConfigurationState {
    val move = orderedMoveId(record.service, LogPosition(state.era, entry.offset))
    val order = state.newerOrder(record.service, MoveOrder(move, record.release, record.durationMillis))
    return state.copy(offset = entry.offset, orders = state.orders + (record.service to order)).inOrder()
}

private fun isDuplicate(
    state: ConfigurationState,
    entry: LogEntry,
): Boolean {
    val lastSeen = state.writers[entry.record.writer] ?: return false
    return entry.record.sequence <= lastSeen.sequence
}

private fun updatedWriters(
    state: ConfigurationState,
    entry: LogEntry,
) = state.writers.filterValues { entry.appendedAtMillis - it.seenAtMillis < WRITER_RETENTION_MILLIS } +
    (entry.record.writer to WriterState(entry.record.sequence, entry.appendedAtMillis))

private fun foldPatch(
    state: ConfigurationState,
    entry: LogEntry,
    record: PatchRecord,
): ConfigurationState {
    if (record.baseVersion != state.version) {
        val conflict = PatchResult.Conflict(state.version, winnerAgainst(state, record.baseVersion))
        return state.withVerdict(entry, record, conflict)
    }
    return applyPatch(state, record.patch, record.operator, entry.appendedAtMillis).fold(
        success = { it.withVerdict(entry, record, PatchResult.Accepted(it.version)) },
        failure = { state.withVerdict(entry, record, PatchResult.Invalid(it)) },
    )
}

private fun winnerAgainst(
    state: ConfigurationState,
    baseVersion: Long,
): String? =
    state.verdicts
        .lastOrNull { it.baseVersion == baseVersion && it.result is PatchResult.Accepted }
        ?.operator

private fun ConfigurationState.withVerdict(
    entry: LogEntry,
    record: PatchRecord,
    result: PatchResult,
): ConfigurationState {
    val verdict =
        PatchVerdict(
            writer = entry.record.writer,
            sequence = entry.record.sequence,
            offset = entry.offset,
            operator = record.operator,
            baseVersion = record.baseVersion,
            appendedAtMillis = entry.appendedAtMillis,
            result = result,
        )
    return copy(verdicts = (verdicts + verdict).takeLast(KEPT_VERDICTS))
}
