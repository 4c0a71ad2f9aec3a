package dev.baobabhollow.node

/** Records when the node put its latest versions in force. Thread-safe. */
internal class VersionTimes {
    @Volatile
    private var times: List<VersionInForce> = emptyList()

    /** Records [nowMillis] as the time since which the node routes by [version], unless a time is known already. */
    @Synchronized
    fun record(
        version: Long,
        nowMillis: Long,
    ) {
        val last = times.lastOrNull()?.version ?: 0
        if (version > last) times = (times + VersionInForce(version, nowMillis)).takeLast(KEPT_VERSIONS)
    }

    /** Returns the recorded versions, oldest first. */
    fun list(): List<VersionInForce> = times

    private companion object {
        const val KEPT_VERSIONS = 256
    }
}
