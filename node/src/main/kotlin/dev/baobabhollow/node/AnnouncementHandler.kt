package dev.baobabhollow.node

import com.github.michaelbull.result.fold
import dev.baobabhollow.model.TargetRecord
import org.apache.logging.log4j.Level
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit

/**
 * Handles the announcements of the target on the node's VM. Calls [onChange] with the target and with what other nodes
 * should know of it, and responds once that was sent to them, since this node may be killed right after the response.
 * Calls [onUnconfirmed] for each heartbeat that needs a confirmation by the target's health path. [onWarmUp] gets what
 * heartbeats and health responses say of the target's warm-up, before [onChange].
 */
internal class AnnouncementHandler(
    settings: AnnouncedTargetSettings,
    private val adapter: PlatformAdapter,
    private val nowMillis: () -> Long,
    private val onChange: (target: TargetRecord?, announced: TargetRecord?) -> CompletableFuture<Unit>,
    private val onWarmUp: (bornMillis: Long?, leftMillis: Long?) -> Unit = { _, _ -> },
    private val onUnconfirmed: () -> Unit,
) {
    private val target =
        AnnouncedTarget(
            settings.endpoint,
            settings.service,
            (settings.heartbeatSeconds * MISSED_HEARTBEATS * MILLIS_PER_SECOND).toLong(),
        )

    /** Limit of the cold target that other nodes know, in requests a second, or null. */
    private var announcedColdPerSecond: Double? = null

    /** True while the identity or the state of the target has to be probed. */
    @get:Synchronized
    val needsProbe: Boolean get() = target.needsProbe

    /** Processes a message from a target and returns the response. */
    fun handle(request: OperatorRequest): CompletableFuture<OperatorResponse> =
        adapter.readAnnouncement(request).fold(
            success = { onMessage(it).thenApply { OperatorResponse(OK, "{}") } },
            failure = { reason ->
                EventLog.write("announcement_unreadable", "reason" to reason, level = Level.WARN)
                CompletableFuture.completedFuture(OperatorResponse(BAD_REQUEST, errorBody(reason)))
            },
        )

    /** Processes the result of a probe. */
    @Synchronized
    fun onProbeResponse(discovered: DiscoveredTarget) {
        val result = target.onProbeResponse(discovered, nowMillis())
        if (result != AnnouncementResult.IGNORED) onWarmUp(null, discovered.warmUpLeftMillis)
        if (result != AnnouncementResult.CHANGED) return
        onChange(target.record, target.announced)
        EventLog.write("target_found", "target" to target.record)
    }

    /** Processes the memory of another node that an earlier process of this one withdrew [earlier]. */
    @Synchronized
    fun onEarlierWithdrawal(earlier: TargetRecord) {
        if (target.onEarlierWithdrawal(earlier) == AnnouncementResult.CHANGED) publishChange("withdrawn_before", null)
    }

    /** Marks the target as down when it has been silent for too long. */
    @Synchronized
    fun checkSilence() {
        if (target.checkSilence(nowMillis())) publishChange("silent", null)
    }

    /** Announces the target again if [coldPerSecond], its limit while it is cold, has changed. */
    @Synchronized
    fun checkWarmth(coldPerSecond: Double?) {
        if (coldPerSecond == announcedColdPerSecond) return
        announcedColdPerSecond = coldPerSecond
        onChange(target.record ?: return, target.announced)
    }

    @Synchronized
    private fun onMessage(message: TargetMessage): CompletableFuture<Unit> {
        val result = target.onMessage(message, nowMillis())
        if (message is TargetHeartbeat && result != AnnouncementResult.IGNORED) {
            onWarmUp(message.bornMillis, message.warmUpLeftMillis)
        }
        when (result) {
            AnnouncementResult.CHANGED -> return publishChange("announced", message)
            AnnouncementResult.IGNORED -> EventLog.write("announcement_ignored", "message" to message)
            AnnouncementResult.UNCONFIRMED -> onUnconfirmed(message)
            AnnouncementResult.CONFIRMED -> Unit
        }
        return CompletableFuture.completedFuture(Unit)
    }

    private fun onUnconfirmed(message: TargetMessage) {
        EventLog.write("announcement_unconfirmed", "message" to message)
        onUnconfirmed()
    }

    private fun publishChange(
        cause: String,
        message: TargetMessage?,
    ): CompletableFuture<Unit> {
        val sent = onChange(target.record, target.announced)
        EventLog.write("target_changed", "cause" to cause, "target" to target.record, "message" to message)
        return sent.completeOnTimeout(Unit, MAX_SENDING_MILLIS, TimeUnit.MILLISECONDS)
    }

    private companion object {
        /** Below the second after which targets call another node. */
        const val MAX_SENDING_MILLIS = 300L
        const val OK = 200
        const val BAD_REQUEST = 400
        const val MILLIS_PER_SECOND = 1_000.0

        /** Heartbeats can arrive seconds late, and failing calls reveal a missing target sooner. */
        const val MISSED_HEARTBEATS = 4.0
    }
}
