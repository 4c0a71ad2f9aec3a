package dev.baobabhollow.configuration

import dev.baobabhollow.model.ConfigurationState
import dev.baobabhollow.model.LogEntry
import kotlinx.serialization.Serializable

/** Entries of the configuration stream directly after [afterOffset], in order and without gaps. */
@Serializable
data class RecordBatch(
    val afterOffset: Long,
    val entries: List<LogEntry>,
)

/** A whole state with its [contentHash], as one node sends it to another. */
@Serializable
data class StateTransfer(
    val state: ConfigurationState,
    val contentHash: String,
)
