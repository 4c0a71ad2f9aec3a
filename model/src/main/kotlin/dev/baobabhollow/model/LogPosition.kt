package dev.baobabhollow.model

/**
 * Position in a log that may return from an older copy. The log then starts the next [era] and assigns some [offset]s
 * again, so an offset identifies a record only together with its era. Later eras come after all positions of earlier
 * ones.
 */
data class LogPosition(
    val era: Long,
    val offset: Long,
) : Comparable<LogPosition> {
    override fun compareTo(other: LogPosition): Int = compareValuesBy(this, other, { it.era }, { it.offset })
}

/** Position through which this state has been folded. */
val ConfigurationState.logPosition: LogPosition get() = LogPosition(era, offset)

/** Returns the identifier of the move that an order at [position] starts. Era 0 is left out, as in logs without eras. */
fun orderedMoveId(
    service: ServiceId,
    position: LogPosition,
): MoveId =
    MoveId(
        if (position.era ==
            0L
        ) {
            "$service/${position.offset}"
        } else {
            "$service/${position.era}.${position.offset}"
        },
    )

/** Position of the order that started this move, or null if a patch started it. */
val MoveId.orderPosition: LogPosition?
    get() {
        val parts = value.substringAfterLast('/', "").split('.').map { it.toLongOrNull() ?: return null }
        return when (parts.size) {
            1 -> LogPosition(0, parts[0])
            2 -> LogPosition(parts[0], parts[1])
            else -> null
        }
    }
