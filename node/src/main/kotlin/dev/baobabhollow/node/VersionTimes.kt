package dev.baobabhollow.node

/** Remembers when the node put its last versions in force. Safe for use by several threads. */
internal class VersionTimes {
    @Volatile
    private var times: List<VersionInForce> = emptyList()

    /** Notes that the node routes by [version] since [nowMillis], if it did not before. */
    @Synchronized
    fun record(
        version: Long,
        nowMillis: Long,
    ) {
        val last = times.lastOrNull()?.version ?: 0
        if (version > last) times = (times + VersionInForce(version, nowMillis)).takeLast(KEPT_VERSIONS)
    }

    /** Returns the times, oldest first. */
    fun list(): List<VersionInForce> = times

    private companion object {
        const val KEPT_VERSIONS = 256
    }
}
