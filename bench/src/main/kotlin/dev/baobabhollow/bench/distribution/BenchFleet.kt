package dev.baobabhollow.bench.distribution

/** Runs a number of nodes that follow one log. */
internal interface BenchFleet : AutoCloseable {
    /** Name of the way in which records reach the nodes. */
    val design: String

    /** Calls to read the log so far. */
    val logReads: Long

    /** Payload bytes of control messages that all nodes have sent so far. */
    val sentBytes: Double

    /** Tells whether every node has a state and knows all nodes. */
    fun isSettled(): Boolean

    /** Time by [System.nanoTime] at which each node first held [version] or a later one, for those that do. */
    fun arrivalsOf(version: Long): List<Long>
}

/** Remembers when one node first held each version. */
internal class VersionArrivals {
    private val nanos = HashMap<Long, Long>()
    private var latest = 0L

    @Synchronized
    fun note(version: Long) {
        val now = System.nanoTime()
        for (reached in latest + 1..version) nanos[reached] = now
        latest = maxOf(latest, version)
    }

    @Synchronized
    fun of(version: Long): Long? = nanos[version]
}
