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
     */
    fun isDue(
        state: ConfigurationState,
        earliestOffset: Long,
        retentionMillis: Long,
        nowMillis: Long,
    ): Boolean {
        if (state.offset == NO_OFFSET || state.offset == state.snapshotOffset) return isMissing(state, earliestOffset)
        if (isMissing(state, earliestOffset)) return true
        val grown = state.offset - state.snapshotOffset > maxRecords + rank
        val agedAtMillis = state.snapshotAtMillis + retentionMillis / RETENTION_PARTS + rank * rankDelayMillis
        return grown || (state.snapshotOffset != NO_OFFSET && nowMillis >= agedAtMillis)
    }

    private fun isMissing(
        state: ConfigurationState,
        earliestOffset: Long,
    ): Boolean = state.offset != NO_OFFSET && state.snapshotOffset < earliestOffset && earliestOffset > 0

    private companion object {
        const val RETENTION_PARTS = 3
    }
}
