package dev.baobabhollow.configuration

import dev.baobabhollow.model.ConfigurationRecord
import dev.baobabhollow.model.LogEntry
import dev.baobabhollow.model.MoveOrderRecord
import dev.baobabhollow.model.ServiceId

/**
 * Returns [entries] without the [ConfigurationRecord]s and [MoveOrderRecord]s that a later record supersedes. Folding
 * the result gives the same state. With a hundred routes, each superseded configuration takes tens of kilobytes.
 */
internal fun compacted(entries: List<LogEntry>): List<LogEntry> {
    var hasConfiguration = false
    val servicesWithOrder = HashSet<ServiceId>()
    return entries
        .asReversed()
        .filter { entry ->
            when (val body = entry.record.body) {
                is ConfigurationRecord -> !hasConfiguration.also { hasConfiguration = true }
                is MoveOrderRecord -> servicesWithOrder.add(body.service)
                else -> true
            }
        }.asReversed()
}
