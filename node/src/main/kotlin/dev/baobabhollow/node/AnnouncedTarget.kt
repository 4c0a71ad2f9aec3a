package dev.baobabhollow.node

import dev.baobabhollow.model.Endpoint
import dev.baobabhollow.model.ReleaseId
import dev.baobabhollow.model.ServiceId
import dev.baobabhollow.model.TargetRecord
import dev.baobabhollow.model.TargetStatus
import dev.baobabhollow.model.UNKNOWN_RELEASE

/** Is what a target tells the node beside it. */
sealed interface TargetMessage {
    /** Identifies the target. */
    val instance: String

    /** Epoch milliseconds of the target's start by its own clock, or null if a onLeave does not say. */
    val bornMillis: Long?
}

/** Repeats what a target is. [sequence] rises with each heartbeat of one start. */
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

/** Says that a target is about to end. */
data class TargetLeave(
    override val instance: String,
    override val bornMillis: Long?,
) : TargetMessage

/** Is what a target that has been probed says of itself; it does not tell its release. */
data class DiscoveredTarget(
    val instance: String,
    val slots: Int,
)

/** Says what became of a message of a target. */
enum class AnnouncementResult {
    /** It changed what the node knows. */
    CHANGED,

    /** It confirmed what the node knew. */
    CONFIRMED,

    /** It came late, or from a target that has ended or is not the one beside this node. */
    IGNORED,
}

/**
 * Keeps the target beside the node from what it announces. A later start supersedes an earlier one, also under the same
 * name, and a heartbeat that was held up in the network never brings back what it came before. Not safe for use by several
 * threads.
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

    /** Latest start of each target that has left. A node that had not heard of it takes the time of the onLeave for it. */
    private val departedBornMillis = LinkedHashMap<String, Long>()

    /** The target as other nodes shall see it, or null if there is none. */
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

    /** False until the target has said something, so that the node may have to ask. */
    val hasAnnounced: Boolean get() = last != null || departedBornMillis.isNotEmpty()

    private fun recordOf(
        service: ServiceId,
        release: ReleaseId,
        slots: Int,
        instance: String,
    ) = TargetRecord(service, release, slots, slots + SPARE_CONNECTIONS, status, instance)

    /** Takes in [message] at [nowMillis]. */
    fun onMessage(
        message: TargetMessage,
        nowMillis: Long,
    ): AnnouncementResult =
        when (message) {
            is TargetHeartbeat -> onHeartbeat(message, nowMillis)
            is TargetLeave -> onLeave(message, nowMillis)
        }

    /** Takes in what the target has answered. What it announces by itself goes before that. */
    fun onProbeResponse(
        target: DiscoveredTarget,
        nowMillis: Long,
    ): AnnouncementResult {
        if (hasAnnounced) return AnnouncementResult.IGNORED
        discovered = target
        lastHeardMillis = nowMillis
        return AnnouncementResult.CHANGED
    }

    /** Tells whether the target has become silent since the last call. */
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
        /** Connections beside those in use, for ones that are being closed. */
        const val SPARE_CONNECTIONS = 4

        /** Targets that follow one another on a VM within the time that a heartbeat can be held up. */
        const val MAX_DEPARTED = 64
    }
}
