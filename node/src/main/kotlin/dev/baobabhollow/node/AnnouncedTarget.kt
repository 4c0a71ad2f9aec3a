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

    /** Epoch milliseconds of the target's start by its own clock, or null if a leave does not say. */
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

/** Is what a target that has been asked says of itself; it does not tell its release. */
data class DiscoveredTarget(
    val instance: String,
    val slots: Int,
)

/** Says what became of a message of a target. */
enum class Announced {
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
    private var found: DiscoveredTarget? = null
    private var heardAtMillis = 0L
    private var isDown = false
    private var latestBornMillis = Long.MIN_VALUE

    /** Latest start of each target that has left. A node that had not heard of it takes the time of the leave for it. */
    private val endedBornMillis = LinkedHashMap<String, Long>()

    /** The target as other nodes shall see it, or null if there is none. */
    val record: TargetRecord?
        get() {
            val known = last
            val asked = found
            return when {
                known != null -> recordOf(known.service, known.release, known.slots, known.instance)
                asked != null -> recordOf(service, UNKNOWN_RELEASE, asked.slots, asked.instance)
                else -> null
            }
        }

    /** False until the target has said something, so that the node may have to ask. */
    val isHeard: Boolean get() = last != null || endedBornMillis.isNotEmpty()

    private fun recordOf(
        service: ServiceId,
        release: ReleaseId,
        slots: Int,
        instance: String,
    ) = TargetRecord(service, release, slots, slots + SPARE_CONNECTIONS, status, instance)

    /** Takes in [message] at [nowMillis]. */
    fun take(
        message: TargetMessage,
        nowMillis: Long,
    ): Announced =
        when (message) {
            is TargetHeartbeat -> beat(message, nowMillis)
            is TargetLeave -> leave(message, nowMillis)
        }

    /** Takes in what the target has answered. What it announces by itself goes before that. */
    fun find(
        target: DiscoveredTarget,
        nowMillis: Long,
    ): Announced {
        if (isHeard) return Announced.IGNORED
        found = target
        heardAtMillis = nowMillis
        return Announced.CHANGED
    }

    /** Tells whether the target has become silent since the last call. */
    fun checkSilence(nowMillis: Long): Boolean {
        if (record == null || isDown || nowMillis - heardAtMillis <= silenceMillis) return false
        isDown = true
        return true
    }

    private fun beat(
        next: TargetHeartbeat,
        nowMillis: Long,
    ): Announced {
        val isEnded = endedBornMillis[next.instance]?.let { next.bornMillis <= it } ?: false
        if (next.endpoint != endpoint || isEnded || isStale(next)) return Announced.IGNORED
        val before = record
        last = next
        found = null
        latestBornMillis = maxOf(latestBornMillis, next.bornMillis)
        heardAtMillis = nowMillis
        isDown = false
        return if (record == before) Announced.CONFIRMED else Announced.CHANGED
    }

    private fun isStale(next: TargetHeartbeat): Boolean {
        if (next.bornMillis < latestBornMillis) return true
        val known = last ?: return false
        if (next.bornMillis != known.bornMillis) return false
        return next.instance == known.instance && next.sequence <= known.sequence
    }

    private fun leave(
        message: TargetLeave,
        nowMillis: Long,
    ): Announced {
        val known = last?.takeIf { it.instance == message.instance }
        if (message.bornMillis != null && known != null &&
            message.bornMillis < known.bornMillis
        ) {
            return Announced.IGNORED
        }
        if (known == null && message.instance in endedBornMillis) return Announced.CONFIRMED
        endedBornMillis[message.instance] = message.bornMillis ?: known?.bornMillis ?: nowMillis
        if (endedBornMillis.size > MAX_ENDED) endedBornMillis.remove(endedBornMillis.keys.first())
        if (known != null) last = null
        if (found?.instance == message.instance) found = null
        return Announced.CHANGED
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
        const val MAX_ENDED = 64
    }
}
