package dev.baobabhollow.configuration

import com.github.michaelbull.result.fold
import dev.baobabhollow.model.ClaimsRecord
import dev.baobabhollow.model.ConfigurationRecord
import dev.baobabhollow.model.ConfigurationState
import dev.baobabhollow.model.LogEntry
import dev.baobabhollow.model.MeshChangeRecord
import dev.baobabhollow.model.MoveId
import dev.baobabhollow.model.MoveOrder
import dev.baobabhollow.model.MoveOrderRecord
import dev.baobabhollow.model.MoveStageRecord
import dev.baobabhollow.model.PatchRecord
import dev.baobabhollow.model.PatchResult
import dev.baobabhollow.model.PatchVerdict
import dev.baobabhollow.model.SnapshotRecord
import dev.baobabhollow.model.UnreadableRecord
import dev.baobabhollow.model.WriterState

/** Number of patch verdicts that a state keeps. */
const val KEPT_VERDICTS = 256

/** Number of finished moves that a state keeps for reports. */
const val KEPT_FINISHED_MOVES = 64

/**
 * Time by the platform's clock after which a silent writer is forgotten, in milliseconds. It must exceed
 * [APPEND_RETRY_LIMIT_MILLIS], or a repeated append could count twice.
 */
const val WRITER_MEMORY_MILLIS = 3_600_000L

/** Time for which a writer may repeat an append whose outcome is unknown, in milliseconds. */
const val APPEND_RETRY_LIMIT_MILLIS = 600_000L

/**
 * Returns the state after [entry]. The function is pure and depends on nothing but its arguments, so that every reader
 * reaches the same versions, verdicts and move stages. Entries at or below the offset of [state] change nothing.
 */
fun fold(
    state: ConfigurationState,
    entry: LogEntry,
): ConfigurationState {
    if (entry.offset <= state.offset) return state
    when (val body = entry.record.body) {
        is ConfigurationRecord -> return foldConfiguration(state, entry, body)

        is MoveOrderRecord -> return foldOrder(state, entry, body)

        // A change belongs between nodes. A replica turns it into a whole configuration, so this one comes from the log.
        is MeshChangeRecord, is UnreadableRecord -> return state.copy(offset = entry.offset)

        else -> Unit
    }
    val advanced = state.copy(offset = entry.offset, lastAppendedAtMillis = entry.appendedAtMillis)
    if (isRepeat(state, entry)) return advanced
    val seen = advanced.copy(writers = rememberWriter(state, entry))
    return when (val body = entry.record.body) {
        is PatchRecord -> foldPatch(seen, entry, body)
        is MoveStageRecord -> foldMoveStage(seen, entry, body)
        is SnapshotRecord -> seen.copy(snapshotOffset = entry.offset, snapshotAtMillis = entry.appendedAtMillis)
        is ClaimsRecord, is ConfigurationRecord, is MoveOrderRecord, is MeshChangeRecord, is UnreadableRecord -> seen
    }
}

/**
 * Only the newest configuration and the newest order of each service count, so a log that keeps just the newest record of
 * each key leads to the same state as one that keeps all of them.
 */
private fun foldConfiguration(
    state: ConfigurationState,
    entry: LogEntry,
    record: ConfigurationRecord,
): ConfigurationState {
    if (record.version <= state.version) return state.copy(offset = entry.offset)
    return state.copy(offset = entry.offset, version = record.version, mesh = record.mesh)
}

private fun foldOrder(
    state: ConfigurationState,
    entry: LogEntry,
    record: MoveOrderRecord,
): ConfigurationState {
    val order = MoveOrder(MoveId("${record.service}/${entry.offset}"), record.release, record.durationMillis)
    return state.copy(offset = entry.offset, orders = state.orders + (record.service to order))
}

private fun isRepeat(
    state: ConfigurationState,
    entry: LogEntry,
): Boolean {
    val known = state.writers[entry.record.writer] ?: return false
    return entry.record.sequence <= known.sequence
}

private fun rememberWriter(
    state: ConfigurationState,
    entry: LogEntry,
) = state.writers.filterValues { entry.appendedAtMillis - it.seenAtMillis < WRITER_MEMORY_MILLIS } +
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
