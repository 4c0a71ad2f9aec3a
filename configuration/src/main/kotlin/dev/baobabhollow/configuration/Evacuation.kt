package dev.baobabhollow.configuration

import dev.baobabhollow.model.ConfigurationState
import dev.baobabhollow.model.EvacuationRecord
import dev.baobabhollow.model.EvacuationSetRecord
import dev.baobabhollow.model.RecordBody

/** Returns [state] at [offset] after an [EvacuationRecord] or [EvacuationSetRecord]. */
internal fun foldEvacuation(
    state: ConfigurationState,
    offset: Long,
    body: RecordBody,
): ConfigurationState {
    val before = state.evacuatedDomains
    val domains =
        when (body) {
            is EvacuationRecord -> if (body.isEvacuated) before + body.failureDomain else before - body.failureDomain
            is EvacuationSetRecord -> body.failureDomains
            else -> before
        }
    // Sorted, since the content hash covers the order and nodes may read the records in different batches.
    return state.copy(offset = offset, evacuatedDomains = domains.sortedBy { it.value }.toSet())
}
