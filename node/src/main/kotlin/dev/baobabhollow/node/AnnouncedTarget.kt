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
 * its heartbeats have continued for longer than the network delays one.
 *
 * The health path may be wrong. So other nodes tell a restarted one which target it withdrew ([onEarlierWithdrawal]),
 * and that target is not used again unless its heartbeats continue. A target that only its health path names is not used
 * for longer than a heartbeat may be missing. Not thread-safe.
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

    /** Confirmed once a heartbeat of a serving target was; the node knows all leaves and drains from then on. */
    private var confirmation = Confirmation.NONE
    private val isConfirmed: Boolean get() = confirmation != Confirmation.NONE

    /** Time of the first heartbeat of the start of [last]. */
    private var lastSinceMillis = 0L

    /** Name of a target that an earlier process of the node withdrew, and whose health path does not count. */
    private var distrusted: String? = null

    /** Record of a withdrawn target that no other one has replaced. */
    private var withdrawn: TargetRecord? = null

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

    /**
     * What other nodes should know: the [record], or a target that has left as a draining one, so that they can remind a
     * restarted node of it.
     */
    val announced: TargetRecord? get() = record ?: withdrawn

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
        val next = candidate?.takeIf { it.instance == target.instance && it.instance != distrusted }
        if (!isConfirmed && next != null) return confirm(next, Confirmation.HEALTH_PATH, nowMillis)
        if (isConfirmed || hasAnnounced || target.instance == distrusted) return AnnouncementResult.IGNORED
        val before = record
        discovered = target
        lastHeardMillis = nowMillis
        return if (record == before) AnnouncementResult.CONFIRMED else AnnouncementResult.CHANGED
    }

    /**
     * Processes the memory of another node that an earlier process of this one withdrew [target]. Heartbeats that have
     * continued prove that the target has not left, or has started again.
     */
    fun onEarlierWithdrawal(target: TargetRecord): AnnouncementResult {
        val name = target.instance ?: return AnnouncementResult.IGNORED
        val isKnown = name in departedBornMillis || name == distrusted || last?.isDraining == true
        val isReplaced = (last ?: candidate)?.let { it.instance != name } ?: false
        if (confirmation == Confirmation.HEARTBEATS || isKnown || isReplaced) return AnnouncementResult.IGNORED
        distrusted = name
        if (discovered?.instance == name) discovered = null
        last?.let {
            candidate = it
            candidateSinceMillis = lastSinceMillis
        }
        last = null
        confirmation = Confirmation.NONE
        withdrawn = target.copy(status = TargetStatus.DRAINING, coldPerSecond = null)
        return AnnouncementResult.CHANGED
    }

    /** Marks the target as down after too long a silence. Returns true if this call changed its status. */
    fun checkSilence(nowMillis: Long): Boolean {
        val limitMillis = if (last == null) silenceMillis / DISCOVERED_SILENCE_DIVISOR else silenceMillis
        if (record == null || isDown || nowMillis - lastHeardMillis <= limitMillis) return false
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
        return when {
            isContinued -> confirm(next, Confirmation.HEARTBEATS, nowMillis)
            discovered?.instance == next.instance -> confirm(next, Confirmation.HEALTH_PATH, nowMillis)
            else -> AnnouncementResult.UNCONFIRMED
        }
    }

    private fun confirm(
        heartbeat: TargetHeartbeat,
        by: Confirmation,
        nowMillis: Long,
    ): AnnouncementResult {
        confirmation = by
        return accept(heartbeat, nowMillis)
    }

    private fun accept(
        next: TargetHeartbeat,
        nowMillis: Long,
    ): AnnouncementResult {
        val before = record
        val isContinued = last?.let { isSameStart(it, next) } ?: false
        if (!isContinued) lastSinceMillis = candidate?.let { candidateSinceMillis } ?: nowMillis
        if (isConfirmed && nowMillis - lastSinceMillis >= silenceMillis) confirmation = Confirmation.HEARTBEATS
        last = next
        candidate = null
        discovered = null
        distrusted = null
        withdrawn = null
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
        if (record == null || record?.instance == message.instance) withdrawn = withdrawnRecord(message.instance)
        if (last?.instance == message.instance) last = null
        if (candidate?.instance == message.instance) candidate = null
        if (discovered?.instance == message.instance) discovered = null
        return AnnouncementResult.CHANGED
    }

    /** Returns a draining record of [instance], whose release and slots a restarted node may not know. */
    private fun withdrawnRecord(instance: String): TargetRecord {
        val known = record ?: recordOf(service, UNKNOWN_RELEASE, UNKNOWN_SLOTS, instance)
        return known.copy(status = TargetStatus.DRAINING, coldPerSecond = null)
    }

    private val status: TargetStatus
        get() =
            when {
                last?.isDraining == true -> TargetStatus.DRAINING
                isDown -> TargetStatus.DOWN
                else -> TargetStatus.SERVING
            }

    private enum class Confirmation { NONE, HEALTH_PATH, HEARTBEATS }

    private companion object {
        /** Slots of a target that has left without being known; no calls go to it. */
        const val UNKNOWN_SLOTS = 1

        /** Part of the usual silence for which a target that has sent no heartbeat is used: two of four heartbeats. */
        const val DISCOVERED_SILENCE_DIVISOR = 2

        /** Connections allowed beyond the slots, for connections that are being closed. */
        const val SPARE_CONNECTIONS = 4

        /** Bounds the targets that can succeed each other on a VM while the network still delays a heartbeat. */
        const val MAX_DEPARTED = 64
    }
}
