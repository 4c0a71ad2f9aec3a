package dev.baobabhollow.configuration

import dev.baobabhollow.model.ConfigurationState
import dev.baobabhollow.model.NO_OFFSET

/**
 * Decides when a log reader writes a snapshot. Each reader waits longer the higher its [rank], so that usually only one
 * of them writes; duplicate snapshots are harmless.
 *
 * A snapshot is due after [maxRecords] records, plus one per rank. By age, each rank waits another [rankDelayMillis].
 */
data class SnapshotPolicy(
    val rank: Int,
    val maxRecords: Int = 200,
    val rankDelayMillis: Long = 1_000,
) {
    /**
     * Returns true if a snapshot of [state] is due at [nowMillis]. The log keeps records for [retentionMillis] and
     * currently starts at [earliestOffset].
     *
     * A snapshot becomes due by age even without new records, because the last snapshot expires like any other record.
     */
    fun isDue(
        state: ConfigurationState,
        earliestOffset: Long,
        retentionMillis: Long,
        nowMillis: Long,
    ): Boolean {
        if (state.offset == NO_OFFSET) return false
        val hasExpired = state.snapshotOffset < earliestOffset
        val hasManyRecords = state.offset - state.snapshotOffset > maxRecords + rank
        val dueAtMillis = state.snapshotAtMillis + retentionMillis / SNAPSHOTS_PER_RETENTION + rank * rankDelayMillis
        return hasExpired || hasManyRecords || nowMillis >= dueAtMillis
    }

    private companion object {
        const val SNAPSHOTS_PER_RETENTION = 3
    }
}
