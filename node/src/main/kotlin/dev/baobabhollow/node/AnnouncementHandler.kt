package dev.baobabhollow.node

import com.github.michaelbull.result.fold
import dev.baobabhollow.model.TargetRecord
import org.apache.logging.log4j.Level

/** Takes the announcements of the target beside the node. Calls [onChange] before the target gets its answer. */
internal class AnnouncementHandler(
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
    val hasAnnounced: Boolean get() = target.hasAnnounced

    /** Answers a message of a target. */
    fun handle(request: OperatorRequest): OperatorResponse =
        adapter.readAnnouncement(request).fold(
            success = { onMessage(it) },
            failure = { reason ->
                EventLog.write("announcement_unreadable", "reason" to reason, level = Level.WARN)
                OperatorResponse(BAD_REQUEST, errorBody(reason))
            },
        )

    /** Takes in what the target has answered when it was asked. */
    @Synchronized
    fun onProbeResponse(discovered: DiscoveredTarget) {
        if (target.onProbeResponse(discovered, nowMillis()) != AnnouncementResult.CHANGED) return
        onChange(target.record)
        EventLog.write("target_found", "target" to target.record)
    }

    /** Takes the target out when it has been silent for too long. */
    @Synchronized
    fun checkSilence() {
        if (target.checkSilence(nowMillis())) publishChange("silent", null)
    }

    @Synchronized
    private fun onMessage(message: TargetMessage): OperatorResponse {
        when (target.onMessage(message, nowMillis())) {
            AnnouncementResult.CHANGED -> publishChange("announced", message)
            AnnouncementResult.IGNORED -> EventLog.write("announcement_ignored", "message" to message)
            AnnouncementResult.CONFIRMED -> Unit
        }
        return OperatorResponse(OK, "{}")
    }

    private fun publishChange(
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
