package dev.baobabhollow.configuration

import dev.baobabhollow.model.ConfigurationState
import dev.baobabhollow.model.LogEntry
import dev.baobabhollow.model.NO_OFFSET
import dev.baobabhollow.model.SnapshotRecord

/**
 * Rebuilds the state from the records that the log still keeps, for a reader that has no state.
 *
 * Add all entries from [earliestOffset] on, in order. A snapshot is usable if the log still keeps every record after
 * its state. Until one is found there is no state, unless the log still starts with its first record.
 */
class SnapshotSearch(
    private val earliestOffset: Long,
) {
    private val kept = mutableListOf<LogEntry>()
    private var found: ConfigurationState? = if (earliestOffset <= NO_OFFSET + 1) ConfigurationState.INITIAL else null

    /** State through the last added entry, or null as long as no usable snapshot has been found. */
    val state: ConfigurationState? get() = found

    /** Adds the next entry. */
    fun add(entry: LogEntry) {
        val known = found
        if (known != null) {
            found = fold(known, entry)
            return
        }
        kept += entry
        val snapshot = entry.record.body as? SnapshotRecord ?: return
        if (!isUsable(snapshot)) return
        found = kept.fold(snapshot.state, ::fold)
        kept.clear()
    }

    private fun isUsable(snapshot: SnapshotRecord): Boolean =
        snapshot.throughOffset >= earliestOffset - 1 &&
            snapshot.state.offset == snapshot.throughOffset &&
            contentHash(snapshot.state) == snapshot.contentHash
}
