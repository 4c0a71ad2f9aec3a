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

/**
 * A periodic description of a target. [sequence] increases with each heartbeat since one start. [warmUpLeftMillis] is the
 * time for which the target stays cold, 0 if it is warm, or null if it does not say.
 */
data class TargetHeartbeat(
    override val instance: String,
    override val bornMillis: Long,
    val sequence: Long,
    val endpoint: Endpoint,
    val service: ServiceId,
    val release: ReleaseId,
    val slots: Int,
    val isDraining: Boolean,
    val warmUpLeftMillis: Long? = null,
) : TargetMessage

/** Announces that a target is about to stop. */
data class TargetLeave(
    override val instance: String,
    override val bornMillis: Long?,
) : TargetMessage

/** The identity of a target as its health response states it. The response does not contain the release. */
data class DiscoveredTarget(
    val instance: String,
    /** Null if the response does not state them; the target is then used only once it announces itself. */
    val slots: Int?,
    /** Time for which the target stays cold, 0 if it is warm, or null if the response does not say. */
    val warmUpLeftMillis: Long? = null,
)

/** Effect of a message from a target. */
enum class AnnouncementResult {
    /** The message changed what the node knows. */
    CHANGED,

    /** The message confirmed what the node knew. */
    CONFIRMED,

    /** The message was stale, or came from a target that has left or does not run on this VM. */
    IGNORED,

    /** The heartbeat may be late and needs the target's confirmation, since the node has just started. */
    UNCONFIRMED,
}

/**
 * Tracks the target on the node's VM by its announcements. A later start supersedes an earlier one, also under the same
 * name, and a heartbeat that the network delayed never reverts a later state.
 *
 * A node that has just started does not know which leave or drain its previous process acknowledged, so a heartbeat may
 * be late and older than that. A target that serves is therefore announced only once its health path confirms it, or
 * its heartbeats have continued for longer than the network delays one. Not thread-safe.
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

    /** Latest heartbeat of a serving target that is not confirmed yet, and the time of the first one of its start. */
    private var candidate: TargetHeartbeat? = null
    private var candidateSinceMillis = 0L

    /** True once a heartbeat of a serving target was confirmed; the node knows all leaves and drains from then on. */
    private var isConfirmed = false

    /**
     * Latest start of each target that has left. If the start is unknown, the time of the leave message is used.
     */
    private val departedBornMillis = LinkedHashMap<String, Long>()

    /** The target's record for other nodes, or null if there is no target. */
    val record: TargetRecord?
        get() {
            val known = last
            if (known != null) return recordOf(known.service, known.release, known.slots, known.instance)
            return discovered?.let { probed ->
                probed.slots?.let { recordOf(service, UNKNOWN_RELEASE, it, probed.instance) }
            }
        }

    /** True while the identity or the state of the target has to be probed. */
    val needsProbe: Boolean get() = !isConfirmed && (candidate != null || !hasAnnounced)

    private val hasAnnounced: Boolean get() = last != null || departedBornMillis.isNotEmpty()

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

    /** Processes a probe's result. It confirms a heartbeat, and is ignored once the target has announced itself. */
    fun onProbeResponse(
        target: DiscoveredTarget,
        nowMillis: Long,
    ): AnnouncementResult {
        val next = candidate
        if (!isConfirmed && next?.instance == target.instance) return confirm(next, nowMillis)
        if (isConfirmed || hasAnnounced) return AnnouncementResult.IGNORED
        val before = record
        discovered = target
        lastHeardMillis = nowMillis
        return if (record == before) AnnouncementResult.CONFIRMED else AnnouncementResult.CHANGED
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
        if (next.isDraining || isConfirmed) return accept(next, nowMillis)
        if (candidate?.let { isSameStart(it, next) } != true) candidateSinceMillis = nowMillis
        candidate = next
        val isContinued = nowMillis - candidateSinceMillis >= silenceMillis
        if (isContinued || discovered?.instance == next.instance) return confirm(next, nowMillis)
        return AnnouncementResult.UNCONFIRMED
    }

    private fun confirm(
        heartbeat: TargetHeartbeat,
        nowMillis: Long,
    ): AnnouncementResult {
        isConfirmed = true
        return accept(heartbeat, nowMillis)
    }

    private fun accept(
        next: TargetHeartbeat,
        nowMillis: Long,
    ): AnnouncementResult {
        val before = record
        last = next
        candidate = null
        discovered = null
        latestBornMillis = maxOf(latestBornMillis, next.bornMillis)
        lastHeardMillis = nowMillis
        isDown = false
        return if (record == before) AnnouncementResult.CONFIRMED else AnnouncementResult.CHANGED
    }

    private fun isStale(next: TargetHeartbeat): Boolean {
        if (next.bornMillis < latestBornMillis) return true
        return listOfNotNull(last, candidate).any { isSameStart(it, next) && next.sequence <= it.sequence }
    }

    private fun isSameStart(
        one: TargetHeartbeat,
        other: TargetHeartbeat,
    ) = one.instance == other.instance && one.bornMillis == other.bornMillis

    private fun onLeave(
        message: TargetLeave,
        nowMillis: Long,
    ): AnnouncementResult {
        val known = listOfNotNull(candidate, last).firstOrNull { it.instance == message.instance }
        if (message.bornMillis != null && known != null &&
            message.bornMillis < known.bornMillis
        ) {
            return AnnouncementResult.IGNORED
        }
        if (known == null && message.instance in departedBornMillis) return AnnouncementResult.CONFIRMED
        departedBornMillis[message.instance] = message.bornMillis ?: known?.bornMillis ?: nowMillis
        if (departedBornMillis.size > MAX_DEPARTED) departedBornMillis.remove(departedBornMillis.keys.first())
        if (last?.instance == message.instance) last = null
        if (candidate?.instance == message.instance) candidate = null
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
