package dev.baobabhollow.configuration

import dev.baobabhollow.model.ConfigurationState
import dev.baobabhollow.model.LogEntry
import kotlinx.serialization.Serializable

/** Holds all entries of the configuration stream after [afterOffset] up to the last one, in order and without gaps. */
@Serializable
data class RecordBatch(
    val afterOffset: Long,
    val entries: List<LogEntry>,
)

/** Carries a whole state with its [contentHash]. */
@Serializable
data class StateTransfer(
    val state: ConfigurationState,
    val contentHash: String,
)
