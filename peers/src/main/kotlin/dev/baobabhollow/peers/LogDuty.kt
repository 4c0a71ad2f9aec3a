package dev.baobabhollow.peers

import dev.baobabhollow.configuration.SnapshotPolicy
import dev.baobabhollow.membership.FleetView
import dev.baobabhollow.membership.rankNodes
import dev.baobabhollow.model.ConfigurationState
import dev.baobabhollow.model.LogBatch
import dev.baobabhollow.model.LogError
import dev.baobabhollow.model.LogRecord
import dev.baobabhollow.model.NodeRecord
import dev.baobabhollow.model.NodeStatus
import dev.baobabhollow.model.SnapshotRecord
import org.apache.logging.log4j.LogManager

/** Decides when this node reads the log and when it writes a snapshot. Confined to the control thread. */
internal class LogDuty(
    private val self: NodeRecord,
    private val settings: ControlPlaneSettings,
    private val clock: () -> Long,
    private val instruct: (ReadInstruction) -> Unit,
    private val append: (SnapshotRecord) -> Boolean,
) {
    private var rankRevision = -1L
    private var rank = 0
    private var pollMillis: Long? = null
    private var lastBatch: LogBatch? = null
    private var isSnapshotPending = false
    private var nextSnapshotMillis = 0L

    /** Last error of the log, or null if the last read succeeded. */
    var lastError: LogError? = null
        private set

    fun tick(
        view: FleetView,
        position: Position,
        state: ConfigurationState,
        silenceMillis: Long,
        uptimeMillis: Long,
        nowMillis: Long,
    ) {
        val wasReading = isReading
        pollMillis = pollMillis(view, position, silenceMillis, uptimeMillis)
        if (isReading != wasReading) logRoleChange(position, silenceMillis)
        updateReader(position)
        if (isReading && settings.writesSnapshots) writeSnapshotIfDue(state, position, nowMillis)
    }

    /** Passes the current long-poll timeout, and the offset and the era of [position], to the log reader. */
    fun updateReader(position: Position) = instruct(ReadInstruction(pollMillis, position.offset, position.era))

    fun recordRead(batch: LogBatch) {
        lastError = null
        lastBatch = batch
    }

    fun recordError(error: LogError) {
        lastError = error
        lastBatch = null
    }

    fun recordAppend(record: LogRecord) {
        if (record.body is SnapshotRecord) isSnapshotPending = false
    }

    private val isReading get() = pollMillis != null

    /**
     * Returns the long-poll timeout of a read, or null if this node does not read the log. A node without a state waits
     * for its peers first, so that a mass restart doesn't overload the log. A lost read is noticed only when it times
     * out, so nodes that others depend on use a short timeout; the second reader uses a long one to save calls.
     */
    private fun pollMillis(
        view: FleetView,
        position: Position,
        silenceMillis: Long,
        uptimeMillis: Long,
    ): Long? {
        val hasOthers = settings.seeds.any { it != self.controlEndpoint } || view.live().size > 1
        if (!hasOthers) return settings.shortPollMillis
        if (!position.isConfirmed && uptimeMillis < settings.startGraceMillis) return null
        if (silenceMillis >= settings.peerSilenceMillis) return settings.shortPollMillis
        return when (rankIn(view)) {
            0 -> settings.shortPollMillis
            in 1 until READERS_PER_DOMAIN -> settings.longPollMillis
            else -> null
        }
    }

    private fun logRoleChange(
        position: Position,
        silenceMillis: Long,
    ) = LOG.info(
        "event={} rank={} peers_silent_ms={} offset={}",
        if (isReading) "log_reading_started" else "log_reading_stopped",
        rank,
        silenceMillis,
        position.offset,
    )

    private fun rankIn(view: FleetView): Int {
        if (view.revision == rankRevision) return rank
        rankRevision = view.revision
        // A suspected node may be dead, and its suspicion lasts longer than a new version may be delayed.
        val responsive = view.liveIn(self.failureDomain).filter { it.status != NodeStatus.SUSPECT }
        val ranked = rankNodes("log-readers", responsive.map { it.node })
        rank = ranked.indexOf(self.node).let { if (it < 0) Int.MAX_VALUE else it }
        return rank
    }

    private fun writeSnapshotIfDue(
        state: ConfigurationState,
        position: Position,
        nowMillis: Long,
    ) {
        val batch = lastBatch ?: return
        if (isSnapshotPending || !position.isConfirmed || nowMillis < nextSnapshotMillis) return
        val policy = SnapshotPolicy(rank.coerceIn(0, READERS_PER_DOMAIN))
        if (!policy.isDue(state, batch.earliestOffset, batch.retentionMillis, clock())) return
        nextSnapshotMillis = nowMillis + SNAPSHOT_PAUSE_MILLIS
        isSnapshotPending = append(SnapshotRecord(state.offset, position.contentHash, state))
    }

    private companion object {
        const val READERS_PER_DOMAIN = 2

        /** Limits the appends of a reader whose snapshots fail or whose clock is wrong. */
        const val SNAPSHOT_PAUSE_MILLIS = 5_000L
        val LOG = LogManager.getLogger(LogDuty::class.java)
    }
}
