package dev.baobabhollow.node

import dev.baobabhollow.peers.ControlThreadTimes
import org.apache.logging.log4j.Level
import java.lang.management.ManagementFactory

/** Event loop lag and control thread times of a node in one period, in milliseconds. */
internal data class LagSample(
    val loopLagMillis: Long,
    val control: ControlThreadTimes,
    val inFlight: Int,
)

/** Logs each period in which the node fell behind, to distinguish late calls from slow targets. */
internal class LagLog(
    private val write: (LagSample) -> Unit = ::writeLine,
) {
    fun log(sample: LagSample) {
        val isBehind =
            sample.loopLagMillis >= MIN_LOGGED_LAG_MILLIS || sample.control.longestMillis >= MIN_LOGGED_LAG_MILLIS
        if (isBehind) write(sample)
    }

    private companion object {
        /** A third of the shortest time within which responses to nested calls have their full value. */
        const val MIN_LOGGED_LAG_MILLIS = 80L
    }
}

private const val MEGABYTE = 1_048_576L

/** Looks the beans up on first use, because loading them would delay the node's start. */
private fun writeLine(sample: LagSample) {
    val runtime = Runtime.getRuntime()
    val gcMillis = ManagementFactory.getGarbageCollectorMXBeans().sumOf { it.collectionTime }
    EventLog.write(
        "node_behind",
        "loopLagMillis" to sample.loopLagMillis,
        "controlBusyMillis" to sample.control.busyMillis,
        "controlLongestMillis" to sample.control.longestMillis,
        "controlLongestStep" to sample.control.longestStep,
        "gcMillisSinceStart" to gcMillis,
        "heapUsedMegabytes" to (runtime.totalMemory() - runtime.freeMemory()) / MEGABYTE,
        "heapMaxMegabytes" to runtime.maxMemory() / MEGABYTE,
        "inFlight" to sample.inFlight,
        level = Level.WARN,
    )
}
