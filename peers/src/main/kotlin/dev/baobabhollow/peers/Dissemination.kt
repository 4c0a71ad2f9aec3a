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
import dev.baobabhollow.model.LogPosition
import dev.baobabhollow.model.NO_OFFSET
import dev.baobabhollow.model.NodeRecord
import dev.baobabhollow.model.UnreadableRecord
import dev.baobabhollow.model.logPosition
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

    /** Hash of the last state from a peer that held nothing new, so that it isn't pulled again. */
    private var subsumedHash: String? = null

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
        val isSamePlace = peerPosition.logPosition == position.logPosition
        val isSame = isSamePlace && peerPosition.contentHash == position.contentHash
        if (isSame || (isSamePlace && position.era == 0L)) {
            if (!isSame) reportDivergence(endpoint)
            if (peerPosition.isConfirmed) confirm()
            return
        }
        // In a later era, states at one position may differ in what they retain of earlier ones, and are merged.
        if (peerPosition.logPosition < position.logPosition || !peerPosition.isConfirmed) return
        if (isSamePlace && peerPosition.contentHash == subsumedHash) return
        if (aheadPeer == null && !isPulling) {
            nextPullAtMillis = maxOf(nextPullAtMillis, nowMillis + random.nextLong(settings.pullJitterMillis + 1))
            LOG.info(
                "event=peer_ahead peer={} peer_era={} peer_offset={} era={} offset={}",
                endpoint,
                peerPosition.era,
                peerPosition.offset,
                position.era,
                position.offset,
            )
        }
        aheadPeer = endpoint
    }

    /** Records that the peer at [endpoint] has pushed records through [pushed]. */
    fun recordPush(
        pushed: LogPosition,
        endpoint: Endpoint,
        nowMillis: Long,
    ) {
        if (pushed <= position.logPosition) return
        compare(position.copy(era = pushed.era, offset = pushed.offset), endpoint, nowMillis)
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
        val hash = position.contentHash.takeIf { position.era > 0 }
        val pull = Pull(position.offset, !needsFullState, takesDeflated = true, position.era, hash)
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
            is Push -> applyPulled { if (!apply(body.batch, view, StateOrigin.PEER)) retryPull(body.batch) }
            is WholeState -> applyPulled { apply(body.transfer, StateOrigin.PEER) }
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
        val before = position
        apply()
        if (position !== before) confirm()
        backoff.reset()
    }

    /** Requests a full state only if the local one hasn't changed since the pull; otherwise a new change may apply. */
    private fun retryPull(rejected: RecordBatch) {
        needsFullState = rejected.era == position.era && rejected.afterOffset == position.offset
        aheadPeer = pulledFrom
    }

    private fun handleNothingNew(
        response: NothingNew,
        nowMillis: Long,
    ) {
        if (response.position.isConfirmed && response.position.logPosition == position.logPosition) confirm()
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
        val entries = batch.entries.map { it.withoutMeshChange() }
        val isNewEra = batch.era > position.era
        val endOffset = if (isNewEra) batch.nextOffset else 0
        if (entries.isNotEmpty() || isNewEra) {
            apply(RecordBatch(afterOffset, entries, batch.era, endOffset), view, StateOrigin.LOG)
        }
        if (batch.era == position.era && position.offset + 1 >= batch.nextOffset) confirm()
    }

    fun applyLogState(state: ConfigurationState) {
        if (state.logPosition > position.logPosition) apply(StateTransfer(state, contentHash(state)), StateOrigin.LOG)
        confirm()
    }

    /** Returns false if [batch] does not apply to the state. */
    private fun apply(
        batch: RecordBatch,
        view: FleetView,
        origin: StateOrigin,
    ): Boolean {
        val before = position.logPosition
        val result = replica.offer(batch)
        if (result is OfferResult.Rejected) {
            metrics.countIgnored("rejected batch")
            LOG.warn("batch rejected: {}", result.reason)
            return false
        }
        if (result !is OfferResult.Applied) return true
        updatePosition(origin)
        // The first batch of an era starts with its first record.
        val newAfter = if (batch.era > before.era) NO_OFFSET else before.offset
        batch.entries.filter { it.offset > newAfter }.forEach(::reportUnreadable)
        // Taken from the replica, which holds full configurations: a change in the batch applies to one version only.
        val newRecords = replica.recordsAfter(newAfter)
        if (newRecords != null && position.isConfirmed) push(newRecords, view, isLogReader = origin == StateOrigin.LOG)
        return true
    }

    private fun apply(
        transfer: StateTransfer,
        origin: StateOrigin,
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
                subsumedHash = transfer.contentHash
            }
        }
    }

    private fun updatePosition(origin: StateOrigin) {
        val before = position
        position = Position(state.offset, state.version, replica.contentHash, before.isConfirmed, state.era)
        if (state.era > before.era && before.isConfirmed) reportEra(before, origin)
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

    private fun push(
        batch: RecordBatch,
        view: FleetView,
        isLogReader: Boolean,
    ) {
        if (settings.announcesRecords) return
        view.pushReceivers(self, settings.pushFanOut, random, isLogReader).forEach { peer ->
            peerSender.request(peer.controlEndpoint, Push(batch)) {
                post(ControlEvent.PushAnswered(it, peer.controlEndpoint))
            }
        }
    }

    private fun handlePush(
        push: Push,
        view: FleetView,
    ): FrameBody {
        apply(push.batch, view, StateOrigin.PEER)
        return NothingNew(position)
    }

    private fun waitAfterRefusal(
        refused: Refused,
        nowMillis: Long,
    ) {
        val wait = refused.retryAfterMillis.coerceIn(0, settings.maxBackoffMillis)
        nextPullAtMillis = nowMillis + wait + backoff.nextMillis()
    }

    private fun randomPeer(view: FleetView): Endpoint? = view.randomPeer(self, settings.seeds, random)

    private fun reportUnreadable(entry: LogEntry) {
        val body = entry.record.body as? UnreadableRecord ?: return
        LOG.warn("event=record_unreadable offset={} reason={}", entry.offset, body.reason)
    }

    private fun reportEra(
        before: Position,
        origin: StateOrigin,
    ) {
        metrics.countEraChange()
        LOG.warn(
            "event=store_era_changed from={} era_before={} offset_before={} era={} offset={} version={}",
            origin.text,
            before.era,
            before.offset,
            position.era,
            position.offset,
            position.version,
        )
    }

    private fun reportDivergence(endpoint: Endpoint) {
        metrics.countDivergence()
        if (reportedOffset == position.offset) return
        reportedOffset = position.offset
        LOG.error("state differs from that of the node at {} at the same offset {}", endpoint, position.offset)
    }

    private companion object {
        val LOG = LogManager.getLogger(Dissemination::class.java)
    }
}
