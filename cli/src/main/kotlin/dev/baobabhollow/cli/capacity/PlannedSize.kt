package dev.baobabhollow.cli.capacity

/** Planned size and limits from section 2 of docs/design.md. */
internal object PlannedSize {
    const val NODES = 2_000
    const val SERVICES = 270
    const val FAILURE_DOMAINS = 13
    const val CALLS_PER_SECOND = 590_000
    const val CHANGES_PER_DAY = 1_200
    const val RESTARTS_PER_DAY = 170
    const val ADDED_P99_MILLIS = 0.45
    const val IN_FORCE_MILLIS = 13_000.0
    const val CONTROL_CORE_PERCENT = 1.4
    const val CONTROL_MEGABYTES = 128.0
    const val CONTROL_BYTES_PER_SECOND = 3_000.0
    const val APPENDS_PER_SECOND = 300.0
    const val SECONDS_PER_DAY = 86_400.0
}
