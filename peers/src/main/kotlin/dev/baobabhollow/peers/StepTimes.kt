package dev.baobabhollow.peers

import java.util.concurrent.TimeUnit

/** Says how long the control thread worked, in milliseconds, and on which step for the longest time. */
data class ControlThreadTimes(
    val busyMillis: Long,
    val longestMillis: Long,
    val longestStep: String,
)

/** Adds up the time that steps of the control thread take. Safe for use by several threads. */
internal class StepTimes(
    private val nowNanos: () -> Long = System::nanoTime,
) {
    private var busyNanos = 0L
    private var longestNanos = 0L
    private var longestStep = "none"

    /** Runs [step] and counts its time under [name]. */
    inline fun <T> measure(
        name: String,
        step: () -> T,
    ): T {
        val start = nowNanos()
        try {
            return step()
        } finally {
            note(name, nowNanos() - start)
        }
    }

    @Synchronized
    fun note(
        name: String,
        nanos: Long,
    ) {
        busyNanos += nanos
        if (nanos <= longestNanos) return
        longestNanos = nanos
        longestStep = name
    }

    /** Returns the work since the last call. */
    @Synchronized
    fun take(): ControlThreadTimes {
        val millis = TimeUnit.NANOSECONDS
        val work = ControlThreadTimes(millis.toMillis(busyNanos), millis.toMillis(longestNanos), longestStep)
        busyNanos = 0
        longestNanos = 0
        longestStep = "none"
        return work
    }
}
