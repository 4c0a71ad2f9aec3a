package dev.baobabhollow.peers

import dev.baobabhollow.membership.FleetView
import dev.baobabhollow.model.ConfigurationState
import dev.baobabhollow.model.MoveId
import dev.baobabhollow.model.OutcomeSummary
import org.apache.logging.log4j.LogManager
import java.util.concurrent.TimeUnit
import java.util.concurrent.locks.LockSupport

/** Immutable snapshot that the control thread publishes to all other threads through one reference. */
internal data class PublishedState(
    val state: ConfigurationState,
    val view: FleetView,
    val held: Set<MoveId>,
    val readiness: Readiness,
)

/** Event loop of the control plane: drains the rings, ticks [core] and publishes its state when it has changed. */
internal class ControlThread(
    private val settings: ControlPlaneSettings,
    private val core: ControlCore,
    private val events: ControlRing<ControlEvent>,
    private val summaries: ControlRing<OutcomeSummary>,
    private val onChange: (ConfigurationState, FleetView, Set<MoveId>) -> Unit,
) : Thread("control") {
    private val stepTimer = StepTimer()

    @Volatile
    private var isStopped = false

    /** Latest published snapshot. */
    @Volatile
    var published = PublishedState(core.state, core.view, core.held, core.readiness())
        private set

    init {
        isDaemon = true
        events.attach(this)
        summaries.attach(this)
    }

    /** Returns the thread's busy times since the last call. Safe to call from any thread. */
    fun takeThreadTimes(): ControlThreadTimes = stepTimer.take()

    fun shutdown() {
        isStopped = true
        LockSupport.unpark(this)
    }

    override fun run() {
        guarded("start") { core.start(nowMillis()) }
        var nextTickMillis = nowMillis()
        while (!isStopped) {
            repeat(MAX_BATCH) {
                val event = events.poll() ?: return@repeat
                guarded(event.javaClass.simpleName) { core.handle(event, nowMillis()) }
            }
            repeat(MAX_BATCH) {
                val summary = summaries.poll() ?: return@repeat
                guarded("observe") { core.observe(summary) }
            }
            if (nowMillis() >= nextTickMillis) {
                nextTickMillis = nowMillis() + settings.tickMillis
                guarded("tick") { core.tick(nowMillis()) }
            }
            publish()
            waitUntil(nextTickMillis)
        }
    }

    private fun publish() {
        val before = published
        val isSame =
            before.state === core.state &&
                before.view.revision == core.view.revision &&
                before.held == core.held
        val readiness = core.readiness()
        if (isSame && before.readiness == readiness) return
        published = PublishedState(core.state, core.view, core.held, readiness)
        if (!isSame) guarded("publish") { onChange(core.state, core.view, core.held) }
    }

    private fun waitUntil(tickMillis: Long) {
        val waitMillis = tickMillis - nowMillis()
        if (waitMillis <= 0 || !events.isEmpty() || !summaries.isEmpty()) return
        LockSupport.parkNanos(this, TimeUnit.MILLISECONDS.toNanos(waitMillis))
    }

    /** Logs exceptions of [step]: a message that cannot be handled must not stop the control plane. */
    private fun guarded(
        name: String,
        step: () -> Unit,
    ) {
        try {
            stepTimer.measure(name, step)
        } catch (e: RuntimeException) {
            LOG.error("control step failed", e)
        }
    }

    private fun nowMillis(): Long = TimeUnit.NANOSECONDS.toMillis(System.nanoTime())

    private companion object {
        const val MAX_BATCH = 256
        val LOG = LogManager.getLogger(ControlThread::class.java)
    }
}
