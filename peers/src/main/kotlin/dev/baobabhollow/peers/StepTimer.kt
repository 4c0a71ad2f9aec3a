package dev.baobabhollow.peers

import java.util.concurrent.TimeUnit

/** Time that the control thread was busy, and its longest step, both over one period. */
data class ControlThreadTimes(
    val busyMillis: Long,
    val longestMillis: Long,
    val longestStep: String,
)

/** Measures the steps of the control thread. Thread-safe. */
internal class StepTimer(
    private val nowNanos: () -> Long = System::nanoTime,
) {
    private var busyNanos = 0L
    private var longestNanos = 0L
    private var longestStep = "none"

    /** Runs [step] and records its duration under [name]. */
    inline fun <T> measure(
        name: String,
        step: () -> T,
    ): T {
        val start = nowNanos()
        try {
            return step()
        } finally {
            record(name, nowNanos() - start)
        }
    }

    @Synchronized
    fun record(
        name: String,
        nanos: Long,
    ) {
        busyNanos += nanos
        if (nanos <= longestNanos) return
        longestNanos = nanos
        longestStep = name
    }

    /** Returns the times since the last call, and resets them. */
    @Synchronized
    fun take(): ControlThreadTimes {
        val millis = TimeUnit.NANOSECONDS
        val times = ControlThreadTimes(millis.toMillis(busyNanos), millis.toMillis(longestNanos), longestStep)
        busyNanos = 0
        longestNanos = 0
        longestStep = "none"
        return times
    }
}
