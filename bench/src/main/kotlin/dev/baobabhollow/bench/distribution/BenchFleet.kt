package dev.baobabhollow.bench.distribution

/** A number of running nodes that follow the same log. */
internal interface BenchFleet : AutoCloseable {
    /** Name of the mechanism that distributes records to the nodes. */
    val design: String

    /** Number of log reads so far. */
    val logReads: Long

    /** Payload bytes of control messages sent by all nodes so far. */
    val sentBytes: Double

    /** True if every node has a configuration state and knows all nodes. */
    fun isSettled(): Boolean

    /**
     * Returns the [System.nanoTime] at which each node first held [version] or a later one, without nodes that hold
     * neither.
     */
    fun arrivalsOf(version: Long): List<Long>
}

/** Records when one node first held each version. */
internal class VersionArrivals {
    private val arrivalNanos = HashMap<Long, Long>()
    private var latest = 0L

    @Synchronized
    fun record(version: Long) {
        val now = System.nanoTime()
        for (reached in latest + 1..version) arrivalNanos[reached] = now
        latest = maxOf(latest, version)
    }

    @Synchronized
    fun of(version: Long): Long? = arrivalNanos[version]
}
