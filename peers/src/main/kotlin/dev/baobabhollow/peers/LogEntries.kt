package dev.baobabhollow.peers

import dev.baobabhollow.model.LogEntry
import dev.baobabhollow.model.MeshChangeRecord
import dev.baobabhollow.model.UnreadableRecord

/**
 * Returns this entry of the log with a change between versions replaced by an unreadable record. Such changes are only
 * sent between nodes and apply to one version; one that was written to the log must not stop the readers.
 */
internal fun LogEntry.withoutMeshChange(): LogEntry {
    if (record.body !is MeshChangeRecord) return this
    return copy(record = record.copy(body = UnreadableRecord("a change between versions")))
}
