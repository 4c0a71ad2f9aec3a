package dev.baobabhollow.configuration

import dev.baobabhollow.model.ConfigurationRecord
import dev.baobabhollow.model.LogEntry
import dev.baobabhollow.model.MoveOrderRecord
import dev.baobabhollow.model.ServiceId

/**
 * Returns [entries] without the whole configurations and orders that later ones replace. Folding the result leads to the
 * same state; with a hundred routes each of these records takes tens of kilobytes.
 */
internal fun compacted(entries: List<LogEntry>): List<LogEntry> {
    var hasConfiguration = false
    val ordered = HashSet<ServiceId>()
    return entries
        .asReversed()
        .filter { entry ->
            when (val body = entry.record.body) {
                is ConfigurationRecord -> !hasConfiguration.also { hasConfiguration = true }
                is MoveOrderRecord -> ordered.add(body.service)
                else -> true
            }
        }.asReversed()
}
