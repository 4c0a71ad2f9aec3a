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

/** Decides when this node reads the log and when it writes a snapshot. Belongs to the control thread. */
internal class LogDuty(
    private val self: NodeRecord,
    private val settings: ControlPlaneSettings,
    private val clock: () -> Long,
    private val order: (ReaderOrder) -> Unit,
    private val append: (SnapshotRecord) -> Boolean,
) {
    private var rankRevision = -1L
    private var rank = 0
    private var pollMillis: Long? = null
    private var lastBatch: LogBatch? = null
    private var isSnapshotPending = false
    private var nextSnapshotMillis = 0L

    /** Last error of the log since the last read that worked. */
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
        if (isReading != wasReading) logRole(position, silenceMillis)
        follow(position)
        if (isReading && settings.writesSnapshots) writeSnapshotIfDue(state, position, nowMillis)
    }

    /** Hands the current offset to the log reader. */
    fun follow(position: Position) = order(ReaderOrder(pollMillis, position.offset))

    fun noteRead(batch: LogBatch) {
        lastError = null
        lastBatch = batch
    }

    fun noteError(error: LogError) {
        lastError = error
        lastBatch = null
    }

    fun noteAppend(record: LogRecord) {
        if (record.body is SnapshotRecord) isSnapshotPending = false
    }

    private val isReading get() = pollMillis != null

    /**
     * Returns how long one read of the log waits, or null if this node does not read it. A node without a state gives its
     * peers a moment first, so that a mass restart does not storm the log. A read that the log has lost is noticed only
     * when its time is over, so those that others depend on wait for a short time; the second reader saves calls.
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

    private fun logRole(
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
        // A node that answers no probes may be gone, and its suspicion lasts longer than a version may be late.
        val able = view.liveIn(self.failureDomain).filter { it.status != NodeStatus.SUSPECT }
        val ranked = rankNodes("log-readers", able.map { it.node })
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

        /** Bounds the appends of a reader whose snapshots fail or whose clock is wrong. */
        const val SNAPSHOT_PAUSE_MILLIS = 5_000L
        val LOG = LogManager.getLogger(LogDuty::class.java)
    }
}
