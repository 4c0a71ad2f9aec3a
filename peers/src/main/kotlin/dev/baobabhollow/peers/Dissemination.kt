package dev.baobabhollow.peers

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.fold
import dev.baobabhollow.configuration.ConfigurationReplica
import dev.baobabhollow.configuration.OfferResult
import dev.baobabhollow.configuration.RecordBatch
import dev.baobabhollow.configuration.StateTransfer
import dev.baobabhollow.configuration.contentHash
import dev.baobabhollow.membership.FleetView
import dev.baobabhollow.model.ConfigurationState
import dev.baobabhollow.model.Endpoint
import dev.baobabhollow.model.LogBatch
import dev.baobabhollow.model.LogEntry
import dev.baobabhollow.model.MeshChangeRecord
import dev.baobabhollow.model.NodeRecord
import dev.baobabhollow.model.UnreadableRecord
import org.apache.logging.log4j.LogManager
import java.util.random.RandomGenerator

/**
 * Replicates the configuration between this node and its peers: pushes new records, pulls missing ones and responds to
 * pulls. Confined to the control thread.
 */
internal class Dissemination(
    private val self: NodeRecord,
    private val settings: ControlPlaneSettings,
    private val peerSender: PeerSender,
    private val metrics: ControlMetrics,
    private val random: RandomGenerator,
    private val post: (ControlEvent) -> Unit,
) {
    private val replica = ConfigurationReplica()
    private val backoff = Backoff(settings.minBackoffMillis, settings.maxBackoffMillis, random)
    private val pullResponder = PullResponder(replica, settings, metrics)
    private var aheadPeer: Endpoint? = null
    private var isPulling = false
    private var pulledFrom: Endpoint? = null

    /** True after a change that didn't apply to the local version, until a full configuration has been applied. */
    private var needsFullState = false
    private var nextPullAtMillis = 0L

    /** Offset of the last logged divergence. Peers repeat their position in each datagram, but it is logged once. */
    private var reportedOffset = Long.MIN_VALUE

    private var pullStartedMillis = 0L

    /** Time at which a pull counts as failed, even if its response was dropped because the ring was full. */
    private var pullTimeoutMillis = 0L

    /** Position of the replica. Updated once per offset, since hashing the state for each probe would cost too much. */
    var position = Position(replica.state.offset, replica.state.version, replica.contentHash, false)
        private set

    val state: ConfigurationState get() = replica.state

    /** Compares [peerPosition], that of the peer at [endpoint], with the local one. Pulls if the peer is ahead. */
    fun compare(
        peerPosition: Position,
        endpoint: Endpoint,
        nowMillis: Long,
    ) {
        if (peerPosition.offset == position.offset) {
            if (peerPosition.contentHash != position.contentHash) reportDivergence(endpoint)
            if (peerPosition.isConfirmed) confirm()
            return
        }
        if (peerPosition.offset < position.offset || !peerPosition.isConfirmed) return
        if (aheadPeer == null && !isPulling) {
            nextPullAtMillis = maxOf(nextPullAtMillis, nowMillis + random.nextLong(settings.pullJitterMillis + 1))
            LOG.info(
                "event=peer_ahead peer={} peer_offset={} offset={}",
                endpoint,
                peerPosition.offset,
                position.offset,
            )
        }
        aheadPeer = endpoint
    }

    /** Records that the peer at [endpoint] has pushed records through [offset]. */
    fun recordPush(
        offset: Long,
        endpoint: Endpoint,
        nowMillis: Long,
    ) {
        if (offset > position.offset) compare(position.copy(offset = offset), endpoint, nowMillis)
    }

    /** Pulls from a peer that is ahead or, while the state is not confirmed, from any peer. */
    fun tick(
        view: FleetView,
        nowMillis: Long,
    ) {
        if (isPulling && nowMillis < pullTimeoutMillis) return
        if (nowMillis < nextPullAtMillis) return
        val source = aheadPeer ?: randomPeer(view).takeIf { !position.isConfirmed } ?: return
        isPulling = true
        pulledFrom = source
        pullStartedMillis = nowMillis
        pullTimeoutMillis = nowMillis + settings.requestTimeoutMillis * 2
        val pull = Pull(position.offset, takesChanges = !needsFullState, takesDeflated = true)
        peerSender.request(source, pull) { post(ControlEvent.PullAnswered(it)) }
    }

    /** Schedules a pull from any peer. Used when the log no longer holds the next records. */
    fun pullFromAnyPeer(view: FleetView) {
        if (aheadPeer == null) aheadPeer = randomPeer(view)
    }

    fun handlePullResponse(
        response: Result<PeerFrame, PeerError>,
        view: FleetView,
        nowMillis: Long,
    ) {
        isPulling = false
        aheadPeer = null
        val body = response.fold({ it.body }) { return handleFailedPull(it, nowMillis) }
        LOG.info("event=pull_answered answer={} millis={}", body::class.simpleName, nowMillis - pullStartedMillis)
        when (body) {
            is Push -> applyPulled { if (!apply(body.batch, view, Origin.PEER)) retryPull(body.batch) }
            is WholeState -> applyPulled { apply(body.transfer, Origin.PEER) }
            is NothingNew -> handleNothingNew(body, nowMillis)
            is Refused -> waitAfterRefusal(body, nowMillis)
            else -> handleFailedPull("unexpected answer ${body::class.simpleName}", nowMillis)
        }
    }

    private fun handleFailedPull(
        reason: Any,
        nowMillis: Long,
    ) {
        nextPullAtMillis = nowMillis + backoff.nextMillis()
        LOG.warn("event=pull_failed offset={} reason={}", position.offset, reason)
    }

    /** Confirms the state as well, because only nodes with a confirmed state send records or a state. */
    private fun applyPulled(apply: () -> Unit) {
        val before = position.offset
        apply()
        if (position.offset > before) confirm()
        backoff.reset()
    }

    /** Requests a full state only if the local one hasn't changed since the pull; otherwise a new change may apply. */
    private fun retryPull(rejected: RecordBatch) {
        needsFullState = rejected.afterOffset == position.offset
        aheadPeer = pulledFrom
    }

    private fun handleNothingNew(
        response: NothingNew,
        nowMillis: Long,
    ) {
        if (response.position.isConfirmed && response.position.offset == position.offset) confirm()
        if (!position.isConfirmed) nextPullAtMillis = nowMillis + backoff.nextMillis()
    }

    fun handlePushResponse(
        response: Result<PeerFrame, PeerError>,
        receiver: Endpoint,
        nowMillis: Long,
    ) {
        val body = response.fold({ it.body }, { null })
        if (body is NothingNew) compare(body.position, receiver, nowMillis)
    }

    /** Handles the request [body] of a peer and returns the response. */
    fun handleRequest(
        body: FrameBody,
        view: FleetView,
        nowMillis: Long,
    ): FrameBody =
        when (body) {
            is Pull -> pullResponder.respond(body, position, nowMillis)
            is Push -> handlePush(body, view)
            else -> NothingNew(position)
        }

    /** Applies a batch read from the log. The state is confirmed once it reaches the end of the log. */
    fun applyLogBatch(
        afterOffset: Long,
        batch: LogBatch,
        view: FleetView,
    ) {
        val entries = batch.entries.map(::withoutMeshChange)
        if (entries.isNotEmpty()) apply(RecordBatch(afterOffset, entries), view, Origin.LOG)
        if (position.offset + 1 >= batch.nextOffset) confirm()
    }

    /**
     * Replaces a change between versions by an unreadable record. Such changes are only sent between nodes and apply to
     * one version; one that was written to the log must not stop the readers.
     */
    private fun withoutMeshChange(entry: LogEntry): LogEntry {
        if (entry.record.body !is MeshChangeRecord) return entry
        return entry.copy(record = entry.record.copy(body = UnreadableRecord("a change between versions")))
    }

    fun applyLogState(state: ConfigurationState) {
        if (state.offset > position.offset) apply(StateTransfer(state, contentHash(state)), Origin.LOG)
        confirm()
    }

    /** Returns false if [batch] does not apply to the state. */
    private fun apply(
        batch: RecordBatch,
        view: FleetView,
        origin: Origin,
    ): Boolean {
        val before = position.offset
        val result = replica.offer(batch)
        if (result is OfferResult.Rejected) {
            metrics.countIgnored("rejected batch")
            LOG.warn("batch rejected: {}", result.reason)
            return false
        }
        if (result !is OfferResult.Applied) return true
        updatePosition(origin)
        batch.entries.filter { it.offset > before }.forEach(::reportUnreadable)
        // Taken from the replica, which holds full configurations: a change in the batch applies to one version only.
        val newRecords = replica.recordsAfter(before)
        if (newRecords != null && position.isConfirmed) push(newRecords, view, isLogReader = origin == Origin.LOG)
        return true
    }

    private fun apply(
        transfer: StateTransfer,
        origin: Origin,
    ) {
        when (val result = replica.offer(transfer)) {
            is OfferResult.Applied -> {
                updatePosition(origin)
            }

            is OfferResult.Rejected -> {
                metrics.countIgnored("rejected state")
                LOG.warn("state rejected: {}", result.reason)
            }

            else -> {
                Unit
            }
        }
    }

    private fun updatePosition(origin: Origin) {
        val before = position
        position = Position(state.offset, state.version, replica.contentHash, position.isConfirmed)
        needsFullState = false
        pullResponder.clear()
        LOG.info(
            "event=configuration_taken from={} offset={} version={} routes={} offset_before={} confirmed={}",
            origin.text,
            position.offset,
            position.version,
            state.mesh.routes.size,
            before.offset,
            position.isConfirmed,
        )
        metrics.showPosition(position)
        metrics.showEvacuatedDomains(state.evacuatedDomains.size)
        backoff.reset()
        nextPullAtMillis = 0
    }

    private fun confirm() {
        if (position.isConfirmed) return
        position = position.copy(isConfirmed = true)
        LOG.info("event=configuration_confirmed offset={} version={}", position.offset, position.version)
    }

    /** Pushes to random peers, preferably of the own domain. A log reader includes one node of another domain. */
    private fun push(
        batch: RecordBatch,
        view: FleetView,
        isLogReader: Boolean,
    ) {
        if (settings.announcesRecords) return
        val (ownDomain, otherDomains) =
            view
                .live()
                .filter {
                    it.node != self.node
                }.partition { it.failureDomain == self.failureDomain }
        val otherCount = if (isLogReader) minOf(1, otherDomains.size) else 0
        val shuffled = otherDomains.inRandomOrder(random)
        val receivers =
            shuffled.take(otherCount) + ownDomain.inRandomOrder(random).take(settings.pushFanOut - otherCount)
        val rest = if (ownDomain.isEmpty()) shuffled.drop(otherCount) else emptyList()
        (receivers + rest).take(settings.pushFanOut).forEach { peer ->
            peerSender.request(peer.controlEndpoint, Push(batch)) {
                post(ControlEvent.PushAnswered(it, peer.controlEndpoint))
            }
        }
    }

    private fun handlePush(
        push: Push,
        view: FleetView,
    ): FrameBody {
        apply(push.batch, view, Origin.PEER)
        return NothingNew(position)
    }

    private fun waitAfterRefusal(
        refused: Refused,
        nowMillis: Long,
    ) {
        val wait = refused.retryAfterMillis.coerceIn(0, settings.maxBackoffMillis)
        nextPullAtMillis = nowMillis + wait + backoff.nextMillis()
    }

    private fun randomPeer(view: FleetView): Endpoint? {
        val known = view.live().filter { it.node != self.node }.map { it.controlEndpoint }
        val candidates = (known + settings.seeds).filter { it != self.controlEndpoint }.distinct()
        if (candidates.isEmpty()) return null
        return candidates[random.nextInt(candidates.size)]
    }

    private fun reportUnreadable(entry: LogEntry) {
        val body = entry.record.body as? UnreadableRecord ?: return
        LOG.warn("event=record_unreadable offset={} reason={}", entry.offset, body.reason)
    }

    private fun reportDivergence(endpoint: Endpoint) {
        metrics.countDivergence()
        if (reportedOffset == position.offset) return
        reportedOffset = position.offset
        LOG.error("state differs from that of the node at {} at the same offset {}", endpoint, position.offset)
    }

    /** Source of a configuration. */
    private enum class Origin(
        val text: String,
    ) {
        LOG("log"),
        PEER("peer"),
    }

    private companion object {
        val LOG = LogManager.getLogger(Dissemination::class.java)
    }
}
