package dev.baobabhollow.configuration

import dev.baobabhollow.model.ConfigurationState
import dev.baobabhollow.model.LogEntry
import kotlinx.serialization.Serializable

/**
 * Entries of the configuration stream of [era] directly after [afterOffset], in order and without gaps. [endOffset] is
 * the end of the log at the time of the read. Only readers of the log set it, and only for the first batch of an era.
 */
@Serializable
data class RecordBatch(
    val afterOffset: Long,
    val entries: List<LogEntry>,
    val era: Long = 0,
    val endOffset: Long = 0,
)

/** A whole state with its [contentHash], as one node sends it to another. */
@Serializable
data class StateTransfer(
    val state: ConfigurationState,
    val contentHash: String,
)
