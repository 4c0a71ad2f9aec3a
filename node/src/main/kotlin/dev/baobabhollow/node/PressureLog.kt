package dev.baobabhollow.node

import dev.baobabhollow.peers.ControlThreadTimes
import org.apache.logging.log4j.Level
import java.lang.management.ManagementFactory

/** Says how late a node was in one period; times are in milliseconds. */
internal data class Pressure(
    val loopLagMillis: Long,
    val control: ControlThreadTimes,
    val inFlight: Int,
)

/** Writes a line for each period in which the node fell behind, so that late calls can be told from slow targets. */
internal class PressureLog(
    private val write: (Pressure) -> Unit = ::writeLine,
) {
    fun note(pressure: Pressure) {
        val isBehind = pressure.loopLagMillis >= LATE_MILLIS || pressure.control.longestMillis >= LATE_MILLIS
        if (isBehind) write(pressure)
    }

    private companion object {
        /** A third of the shortest time within which answers to nested calls are worth most. */
        const val LATE_MILLIS = 80L
    }
}

private const val MEGABYTE = 1_048_576L

/** The beans are looked up here only, because loading them costs time that a starting node lacks. */
private fun writeLine(pressure: Pressure) {
    val runtime = Runtime.getRuntime()
    val gcMillis = ManagementFactory.getGarbageCollectorMXBeans().sumOf { it.collectionTime }
    EventLog.write(
        "node_behind",
        "loopLagMillis" to pressure.loopLagMillis,
        "controlBusyMillis" to pressure.control.busyMillis,
        "controlLongestMillis" to pressure.control.longestMillis,
        "controlLongestStep" to pressure.control.longestStep,
        "gcMillisSinceStart" to gcMillis,
        "heapUsedMegabytes" to (runtime.totalMemory() - runtime.freeMemory()) / MEGABYTE,
        "heapMaxMegabytes" to runtime.maxMemory() / MEGABYTE,
        "inFlight" to pressure.inFlight,
        level = Level.WARN,
    )
}
