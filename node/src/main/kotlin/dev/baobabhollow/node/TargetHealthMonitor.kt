package dev.baobabhollow.node

import dev.baobabhollow.model.OutcomeSummary
import dev.baobabhollow.model.TargetStatus
import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.LongAdder

/** Checks the health of [target] on its own thread and passes changes of its status to [announce]. */
internal class TargetHealthMonitor(
    private val target: TargetSettings,
    private val announce: (TargetStatus) -> Boolean,
) : AutoCloseable {
    private val probe = HealthProbe(target)
    private val health = TargetHealth()
    private val answered = LongAdder()
    private val failed = LongAdder()
    private var announced = TargetStatus.SERVING
    private val thread =
        Executors.newSingleThreadScheduledExecutor {
            Thread(it, "target-health").apply {
                isDaemon =
                    true
            }
        }

    fun start() {
        val period = target.healthIntervalMillis
        thread.scheduleWithFixedDelay(::check, 0, period, TimeUnit.MILLISECONDS)
    }

    /** Counts real calls. A majority of successful ones overrides a failed health response. */
    fun observe(summary: OutcomeSummary) {
        answered.add(summary.calls - summary.errors - summary.shed)
        failed.add(summary.errors)
    }

    override fun close() {
        thread.shutdownNow()
        probe.close()
    }

    private fun check() {
        val sample = HealthSample(probe.probe(), answered.sumThenReset(), failed.sumThenReset())
        val status = health.observe(sample)
        if (status == announced) return
        // Retried at the next check if the control plane's ring buffer was full.
        if (announce(status)) announced = status
        EventLog.write("target_status_changed", "status" to status, "healthAnswer" to sample.response)
    }
}
