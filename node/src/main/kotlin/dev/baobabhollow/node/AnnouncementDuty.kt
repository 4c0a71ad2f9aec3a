package dev.baobabhollow.node

import com.github.michaelbull.result.fold
import dev.baobabhollow.model.TargetRecord
import org.apache.logging.log4j.Level

/** Takes the announcements of the target beside the node. Calls [onChange] before the target gets its answer. */
internal class AnnouncementDuty(
    settings: AnnouncedTargetSettings,
    private val adapter: PlatformAdapter,
    private val nowMillis: () -> Long,
    private val onChange: (TargetRecord?) -> Unit,
) {
    private val target =
        AnnouncedTarget(
            settings.endpoint,
            settings.service,
            (settings.heartbeatSeconds * MISSED_HEARTBEATS * MILLIS_PER_SECOND).toLong(),
        )

    /** False until the target has said something by itself. */
    @get:Synchronized
    val isHeard: Boolean get() = target.isHeard

    /** Answers a message of a target. */
    fun handle(request: OperatorRequest): OperatorResponse =
        adapter.readAnnouncement(request).fold(
            success = { take(it) },
            failure = { reason ->
                EventLog.write("announcement_unreadable", "reason" to reason, level = Level.WARN)
                OperatorResponse(BAD_REQUEST, errorBody(reason))
            },
        )

    /** Takes in what the target has answered when it was asked. */
    @Synchronized
    fun find(found: DiscoveredTarget) {
        if (target.find(found, nowMillis()) != Announced.CHANGED) return
        onChange(target.record)
        EventLog.write("target_found", "target" to target.record)
    }

    /** Takes the target out when it has been silent for too long. */
    @Synchronized
    fun checkSilence() {
        if (target.checkSilence(nowMillis())) change("silent", null)
    }

    @Synchronized
    private fun take(message: TargetMessage): OperatorResponse {
        when (target.take(message, nowMillis())) {
            Announced.CHANGED -> change("announced", message)
            Announced.IGNORED -> EventLog.write("announcement_ignored", "message" to message)
            Announced.CONFIRMED -> Unit
        }
        return OperatorResponse(OK, "{}")
    }

    private fun change(
        cause: String,
        message: TargetMessage?,
    ) {
        onChange(target.record)
        EventLog.write("target_changed", "cause" to cause, "target" to target.record, "message" to message)
    }

    private companion object {
        const val OK = 200
        const val BAD_REQUEST = 400
        const val MILLIS_PER_SECOND = 1_000.0

        /** Heartbeats may arrive seconds late, and failing calls show sooner that a target is gone. */
        const val MISSED_HEARTBEATS = 4.0
    }
}
