package dev.baobabhollow.calls

import dev.baobabhollow.model.NodeId
import java.util.concurrent.ConcurrentHashMap

/** Result of a call as evidence of its target's health. */
enum class CallHealth {
    /** The target responded without an error. */
    SUCCESS,

    /** The target responded with an error or not at all. */
    FAILURE,

    /** No connection to the owner of the target. Further calls would fail as well, so one such call ejects it. */
    NO_CONNECTION,

    /** The call was refused under load or cancelled, which is no evidence. */
    NEUTRAL,
}

/**
 * Ejects targets based on the outcomes of real calls, at most half of a service's targets at a time. After its ejection
 * time, which doubles with every further ejection up to a limit, a target gets one probe call and returns if that
 * succeeds. Thread-safe.
 */
class OutlierDetector(
    private val settings: OutlierSettings,
) {
    private val states = ConcurrentHashMap<NodeId, OutlierState>()
    private val ejectionLock = Any()

    /** True if the target of [node] may get a call: it is not ejected, or its probe call is due. */
    fun isUsable(
        node: NodeId,
        nowMillis: Long,
    ): Boolean = states[node]?.isUsable(nowMillis) ?: true

    /** Marks the next call to the target of [node] as its probe call if one is due. */
    fun claimProbe(
        node: NodeId,
        nowMillis: Long,
    ) {
        states[node]?.claimProbe(nowMillis + settings.probeMillis, nowMillis)
    }

    /** Records the result of a call to [target] and ejects it if needed. [peers] are all targets of its service. */
    fun record(
        target: TargetEndpoint,
        health: CallHealth,
        peers: List<TargetEndpoint>,
        nowMillis: Long,
    ) {
        if (health == CallHealth.SUCCESS && !states.containsKey(target.node)) return
        val state = states.computeIfAbsent(target.node) { OutlierState(settings) }
        if (!state.record(health, nowMillis)) return
        synchronized(ejectionLock) {
            val others = peers.count { it.node != target.node && states[it.node]?.isEjected == true }
            if (state.isEjected || (others + 1) * 2 <= peers.size) state.eject(nowMillis)
        }
    }

    /** Returns the number of [targets] that are ejected. */
    fun ejected(targets: List<TargetEndpoint>): Int = targets.count { states[it.node]?.isEjected == true }

    /** Removes the state of all targets except those of [nodes]. */
    fun retain(nodes: Set<NodeId>) {
        states.keys.retainAll(nodes)
    }
}

internal class OutlierState(
    private val settings: OutlierSettings,
) {
    private var consecutive = 0
    private var windowEndMillis = 0L
    private var calls = 0
    private var failures = 0
    private var ejections = 0
    private var ejectedUntilMillis = 0L
    private var probeUntilMillis = 0L

    @get:Synchronized
    var isEjected = false
        private set

    @Synchronized
    fun isUsable(nowMillis: Long): Boolean =
        !isEjected || (nowMillis >= ejectedUntilMillis && nowMillis >= probeUntilMillis)

    @Synchronized
    fun claimProbe(
        untilMillis: Long,
        nowMillis: Long,
    ) {
        if (isEjected && isUsable(nowMillis)) probeUntilMillis = untilMillis
    }

    /** Records the result of a call and returns true if the target should be ejected. */
    @Synchronized
    fun record(
        health: CallHealth,
        nowMillis: Long,
    ): Boolean {
        if (isEjected) return recordProbe(health, nowMillis)
        if (health == CallHealth.NEUTRAL) return false
        if (nowMillis >= windowEndMillis) startWindow(nowMillis)
        calls++
        if (health == CallHealth.SUCCESS) {
            consecutive = 0
            return false
        }
        consecutive++
        failures++
        val isFailingWindow =
            calls >= settings.windowMinCalls && failures * FULL_PERMILLE >= calls * settings.windowErrorPermille
        return health == CallHealth.NO_CONNECTION || consecutive >= settings.consecutiveFailures || isFailingWindow
    }

    @Synchronized
    fun eject(nowMillis: Long) {
        isEjected = true
        probeUntilMillis = 0
        val factor = 1L shl ejections.coerceAtMost(MAX_DOUBLINGS)
        ejections++
        ejectedUntilMillis = nowMillis + (settings.baseEjectionMillis * factor).coerceAtMost(settings.maxEjectionMillis)
    }

    /**
     * Records the result of the probe call. Calls that were sent before the ejection and end during it do not count.
     */
    private fun recordProbe(
        health: CallHealth,
        nowMillis: Long,
    ): Boolean {
        val isProbe = probeUntilMillis > 0 && nowMillis >= ejectedUntilMillis
        if (!isProbe) return false
        probeUntilMillis = 0
        if (health == CallHealth.SUCCESS) {
            isEjected = false
            startWindow(nowMillis)
        }
        return health == CallHealth.FAILURE || health == CallHealth.NO_CONNECTION
    }

    private fun startWindow(nowMillis: Long) {
        val isClean = failures == 0 && calls >= settings.windowMinCalls
        if (isClean && ejections > 0) ejections--
        windowEndMillis = nowMillis + settings.windowMillis
        calls = 0
        failures = 0
        consecutive = 0
    }

    private companion object {
        const val FULL_PERMILLE = 1_000
        const val MAX_DOUBLINGS = 20
    }
}
