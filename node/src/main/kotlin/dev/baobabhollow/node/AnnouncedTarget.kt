package dev.baobabhollow.node

import dev.baobabhollow.model.Endpoint
import dev.baobabhollow.model.ReleaseId
import dev.baobabhollow.model.ServiceId
import dev.baobabhollow.model.TargetRecord
import dev.baobabhollow.model.TargetStatus
import dev.baobabhollow.model.UNKNOWN_RELEASE

/** A message from a target to the node on the same VM. */
sealed interface TargetMessage {
    /** Instance name of the target. */
    val instance: String

    /** Start time of the target in epoch milliseconds of its own clock, or null if a leave message omits it. */
    val bornMillis: Long?
}

/** A periodic description of a target. [sequence] increases with each heartbeat since one start. */
data class TargetHeartbeat(
    override val instance: String,
    override val bornMillis: Long,
    val sequence: Long,
    val endpoint: Endpoint,
    val service: ServiceId,
    val release: ReleaseId,
    val slots: Int,
    val isDraining: Boolean,
) : TargetMessage

/** Announces that a target is about to stop. */
data class TargetLeave(
    override val instance: String,
    override val bornMillis: Long?,
) : TargetMessage

/** The identity of a target as its health response states it. The response does not contain the release. */
data class DiscoveredTarget(
    val instance: String,
    val slots: Int,
)

/** Effect of a message from a target. */
enum class AnnouncementResult {
    /** The message changed what the node knows. */
    CHANGED,

    /** The message confirmed what the node knew. */
    CONFIRMED,

    /** The message was stale, or came from a target that has left or does not run on this VM. */
    IGNORED,
}

/**
 * Tracks the target on the node's VM by its announcements. A later start supersedes an earlier one, also under the same
 * name, and a heartbeat that the network delayed never reverts a later state. Not thread-safe.
 */
class AnnouncedTarget(
    private val endpoint: Endpoint,
    private val service: ServiceId,
    private val silenceMillis: Long,
) {
    private var last: TargetHeartbeat? = null
    private var discovered: DiscoveredTarget? = null
    private var lastHeardMillis = 0L
    private var isDown = false
    private var latestBornMillis = Long.MIN_VALUE

    /**
     * Latest start of each target that has left. If the start is unknown, the time of the leave message is used.
     */
    private val departedBornMillis = LinkedHashMap<String, Long>()

    /** The target's record for other nodes, or null if there is no target. */
    val record: TargetRecord?
        get() {
            val known = last
            val probed = discovered
            return when {
                known != null -> recordOf(known.service, known.release, known.slots, known.instance)
                probed != null -> recordOf(service, UNKNOWN_RELEASE, probed.slots, probed.instance)
                else -> null
            }
        }

    /** True once the target has sent a heartbeat or a leave message. Until then the node has to probe it. */
    val hasAnnounced: Boolean get() = last != null || departedBornMillis.isNotEmpty()

    private fun recordOf(
        service: ServiceId,
        release: ReleaseId,
        slots: Int,
        instance: String,
    ) = TargetRecord(service, release, slots, slots + SPARE_CONNECTIONS, status, instance)

    /** Processes a [message] that arrived at [nowMillis]. */
    fun onMessage(
        message: TargetMessage,
        nowMillis: Long,
    ): AnnouncementResult =
        when (message) {
            is TargetHeartbeat -> onHeartbeat(message, nowMillis)
            is TargetLeave -> onLeave(message, nowMillis)
        }

    /** Processes a probe's result. It is ignored once the target has announced itself. */
    fun onProbeResponse(
        target: DiscoveredTarget,
        nowMillis: Long,
    ): AnnouncementResult {
        if (hasAnnounced) return AnnouncementResult.IGNORED
        discovered = target
        lastHeardMillis = nowMillis
        return AnnouncementResult.CHANGED
    }

    /** Marks the target as down after too long a silence. Returns true if this call changed its status. */
    fun checkSilence(nowMillis: Long): Boolean {
        if (record == null || isDown || nowMillis - lastHeardMillis <= silenceMillis) return false
        isDown = true
        return true
    }

    private fun onHeartbeat(
        next: TargetHeartbeat,
        nowMillis: Long,
    ): AnnouncementResult {
        val hasDeparted = departedBornMillis[next.instance]?.let { next.bornMillis <= it } ?: false
        if (next.endpoint != endpoint || hasDeparted || isStale(next)) return AnnouncementResult.IGNORED
        val before = record
        last = next
        discovered = null
        latestBornMillis = maxOf(latestBornMillis, next.bornMillis)
        lastHeardMillis = nowMillis
        isDown = false
        return if (record == before) AnnouncementResult.CONFIRMED else AnnouncementResult.CHANGED
    }

    private fun isStale(next: TargetHeartbeat): Boolean {
        if (next.bornMillis < latestBornMillis) return true
        val known = last ?: return false
        if (next.bornMillis != known.bornMillis) return false
        return next.instance == known.instance && next.sequence <= known.sequence
    }

    private fun onLeave(
        message: TargetLeave,
        nowMillis: Long,
    ): AnnouncementResult {
        val known = last?.takeIf { it.instance == message.instance }
        if (message.bornMillis != null && known != null &&
            message.bornMillis < known.bornMillis
        ) {
            return AnnouncementResult.IGNORED
        }
        if (known == null && message.instance in departedBornMillis) return AnnouncementResult.CONFIRMED
        departedBornMillis[message.instance] = message.bornMillis ?: known?.bornMillis ?: nowMillis
        if (departedBornMillis.size > MAX_DEPARTED) departedBornMillis.remove(departedBornMillis.keys.first())
        if (known != null) last = null
        if (discovered?.instance == message.instance) discovered = null
        return AnnouncementResult.CHANGED
    }

    private val status: TargetStatus
        get() =
            when {
                last?.isDraining == true -> TargetStatus.DRAINING
                isDown -> TargetStatus.DOWN
                else -> TargetStatus.SERVING
            }

    private companion object {
        /** Connections allowed beyond the slots, for connections that are being closed. */
        const val SPARE_CONNECTIONS = 4

        /** Bounds the targets that can succeed each other on a VM while the network still delays a heartbeat. */
        const val MAX_DEPARTED = 64
    }
}
