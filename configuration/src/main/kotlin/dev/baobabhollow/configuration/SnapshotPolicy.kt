package dev.baobabhollow.configuration

import dev.baobabhollow.model.ConfigurationState
import dev.baobabhollow.model.NO_OFFSET

/**
 * Decides when a log reader writes a snapshot. Readers of higher [rank] wait longer, so that usually one writes; two
 * snapshots are harmless.
 */
data class SnapshotPolicy(
    val rank: Int,
    val maxRecords: Int = 200,
    val rankDelayMillis: Long = 1_000,
) {
    /**
     * Tells whether a snapshot of [state] is due at [nowMillis] for a log that keeps records for [retentionMillis] and now
     * starts at [earliestOffset].
     *
     * A snapshot is renewed by age even when no record came after it: it expires like any other record.
     */
    fun isDue(
        state: ConfigurationState,
        earliestOffset: Long,
        retentionMillis: Long,
        nowMillis: Long,
    ): Boolean {
        if (state.offset == NO_OFFSET) return false
        val isLost = state.snapshotOffset < earliestOffset
        val hasGrown = state.offset - state.snapshotOffset > maxRecords + rank
        val dueAtMillis = state.snapshotAtMillis + retentionMillis / RETENTION_PARTS + rank * rankDelayMillis
        return isLost || hasGrown || nowMillis >= dueAtMillis
    }

    private companion object {
        const val RETENTION_PARTS = 3
    }
}
