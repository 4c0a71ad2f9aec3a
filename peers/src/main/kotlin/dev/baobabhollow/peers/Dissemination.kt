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
 * Brings the configuration to this node and on to its peers: pushes new records, pulls what is missing and answers pulls.
 * Belongs to the control thread.
 */
internal class Dissemination(
    private val self: NodeRecord,
    private val settings: ControlPlaneSettings,
    private val outbox: Outbox,
    private val metrics: ControlMetrics,
    private val random: RandomGenerator,
    private val post: (ControlEvent) -> Unit,
) {
    private val replica = ConfigurationReplica()
    private val backoff = Backoff(settings.minBackoffMillis, settings.maxBackoffMillis, random)
    private val answers = PullAnswers(replica, settings, metrics)
    private var ahead: Endpoint? = null
    private var isPulling = false
    private var pulledFrom: Endpoint? = null

    /** True after a change that did not fit, until a whole configuration has been taken. */
    private var needsWhole = false
    private var nextPullAtMillis = 0L

    /** Offset of the last divergence that was logged; peers repeat theirs with each datagram. */
    private var reportedOffset = Long.MIN_VALUE

    private var pullStartedMillis = 0L

    /** A pull counts as failed then, even if its answer was lost because the ring was full. */
    private var pullTimeoutMillis = 0L

    /** Is renewed once for each offset, because hashing the whole state on each probe would cost too much. */
    var position = Position(replica.state.offset, replica.state.version, replica.contentHash, false)
        private set

    val state: ConfigurationState get() = replica.state

    /** Compares the [theirs] position of a peer at [endpoint] with the own one. */
    fun compare(
        theirs: Position,
        endpoint: Endpoint,
        nowMillis: Long,
    ) {
        if (theirs.offset == position.offset) {
            if (theirs.contentHash != position.contentHash) reportDivergence(endpoint)
            if (theirs.isConfirmed) confirm()
            return
        }
        if (theirs.offset < position.offset || !theirs.isConfirmed) return
        if (ahead == null && !isPulling) {
            nextPullAtMillis = maxOf(nextPullAtMillis, nowMillis + random.nextLong(settings.pullJitterMillis + 1))
            LOG.info("event=peer_ahead peer={} peer_offset={} offset={}", endpoint, theirs.offset, position.offset)
        }
        ahead = endpoint
    }

    /** Remembers that the peer at [endpoint] pushed records through [offset]. */
    fun notePush(
        offset: Long,
        endpoint: Endpoint,
        nowMillis: Long,
    ) {
        if (offset > position.offset) compare(position.copy(offset = offset), endpoint, nowMillis)
    }

    /** Pulls when a peer is known to be ahead, or from any peer while no state has been obtained. */
    fun tick(
        view: FleetView,
        nowMillis: Long,
    ) {
        if (isPulling && nowMillis < pullTimeoutMillis) return
        if (nowMillis < nextPullAtMillis) return
        val source = ahead ?: anyPeer(view).takeIf { !position.isConfirmed } ?: return
        isPulling = true
        pulledFrom = source
        pullStartedMillis = nowMillis
        pullTimeoutMillis = nowMillis + settings.requestTimeoutMillis * 2
        val pull = Pull(position.offset, takesChanges = !needsWhole, takesDeflated = true)
        outbox.request(source, pull) { post(ControlEvent.PullAnswered(it)) }
    }

    /** Pulls from any peer, because the log no longer has what comes next. */
    fun askAnyPeer(view: FleetView) {
        if (ahead == null) ahead = anyPeer(view)
    }

    fun takePullAnswer(
        answer: Result<PeerFrame, PeerError>,
        view: FleetView,
        nowMillis: Long,
    ) {
        isPulling = false
        ahead = null
        val body = answer.fold({ it.body }) { return noteFailedPull(it, nowMillis) }
        LOG.info("event=pull_answered answer={} millis={}", body::class.simpleName, nowMillis - pullStartedMillis)
        when (body) {
            is Push -> takePulled { if (!take(body.batch, view, Origin.PEER)) pullAgain(body.batch) }
            is WholeState -> takePulled { take(body.transfer, Origin.PEER) }
            is NothingNew -> takeNothingNew(body, nowMillis)
            is Refused -> waitAfterRefusal(body, nowMillis)
            else -> noteFailedPull("unexpected answer ${body::class.simpleName}", nowMillis)
        }
    }

    private fun noteFailedPull(
        reason: Any,
        nowMillis: Long,
    ) {
        nextPullAtMillis = nowMillis + backoff.nextMillis()
        LOG.warn("event=pull_failed offset={} reason={}", position.offset, reason)
    }

    /** Only nodes whose state is confirmed answer pulls with content. */
    private fun takePulled(take: () -> Unit) {
        val before = position.offset
        take()
        if (position.offset > before) confirm()
        backoff.reset()
    }

    /** A change may not fit because the state has moved on since it was asked for; then another one will. */
    private fun pullAgain(rejected: RecordBatch) {
        needsWhole = rejected.afterOffset == position.offset
        ahead = pulledFrom
    }

    private fun takeNothingNew(
        answer: NothingNew,
        nowMillis: Long,
    ) {
        if (answer.position.isConfirmed && answer.position.offset == position.offset) confirm()
        if (!position.isConfirmed) nextPullAtMillis = nowMillis + backoff.nextMillis()
    }

    fun takePushAnswer(
        answer: Result<PeerFrame, PeerError>,
        receiver: Endpoint,
        nowMillis: Long,
    ) {
        val body = answer.fold({ it.body }, { null })
        if (body is NothingNew) compare(body.position, receiver, nowMillis)
    }

    /** Answers [body] of a peer. */
    fun answer(
        body: FrameBody,
        view: FleetView,
        nowMillis: Long,
    ): FrameBody =
        when (body) {
            is Pull -> answers.answer(body, position, nowMillis)
            is Push -> answerPush(body, view)
            else -> NothingNew(position)
        }

    /** Takes in what the log returned. The state is current once it reaches the end of the log. */
    fun takeLogBatch(
        afterOffset: Long,
        batch: LogBatch,
        view: FleetView,
    ) {
        val entries = batch.entries.map(::readableInLog)
        if (entries.isNotEmpty()) take(RecordBatch(afterOffset, entries), view, Origin.LOG)
        if (position.offset + 1 >= batch.nextOffset) confirm()
    }

    /** Changes fit one version only and belong between nodes; whoever writes one to the log must not stop its readers. */
    private fun readableInLog(entry: LogEntry): LogEntry {
        if (entry.record.body !is MeshChangeRecord) return entry
        return entry.copy(record = entry.record.copy(body = UnreadableRecord("a change between versions")))
    }

    fun takeLogState(state: ConfigurationState) {
        if (state.offset > position.offset) take(StateTransfer(state, contentHash(state)), Origin.LOG)
        confirm()
    }

    /** Returns false if [batch] does not fit the state. */
    private fun take(
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
        moveOn(origin)
        batch.entries.filter { it.offset > before }.forEach(::reportUnreadable)
        // The replica holds whole configurations; a change in the batch fits only a node that was at the same version.
        val fresh = replica.recordsAfter(before)
        if (fresh != null && position.isConfirmed) push(fresh, view, isLogReader = origin == Origin.LOG)
        return true
    }

    private fun take(
        transfer: StateTransfer,
        origin: Origin,
    ) {
        when (val result = replica.offer(transfer)) {
            is OfferResult.Applied -> {
                moveOn(origin)
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

    private fun moveOn(origin: Origin) {
        val before = position
        position = Position(state.offset, state.version, replica.contentHash, position.isConfirmed)
        needsWhole = false
        answers.clear()
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
        backoff.reset()
        nextPullAtMillis = 0
    }

    private fun confirm() {
        if (position.isConfirmed) return
        position = position.copy(isConfirmed = true)
        LOG.info("event=configuration_confirmed offset={} version={}", position.offset, position.version)
    }

    /** Pushes to random peers, by preference of the own domain; a log reader serves at least one other domain. */
    private fun push(
        batch: RecordBatch,
        view: FleetView,
        isLogReader: Boolean,
    ) {
        if (settings.announcesRecords) return
        val (near, far) =
            view
                .live()
                .filter {
                    it.node != self.node
                }.partition { it.failureDomain == self.failureDomain }
        val farCount = if (isLogReader) minOf(1, far.size) else 0
        val ordered = far.inRandomOrder(random)
        val chosen = ordered.take(farCount) + near.inRandomOrder(random).take(settings.pushFanOut - farCount)
        val rest = if (near.isEmpty()) ordered.drop(farCount) else emptyList()
        (chosen + rest).take(settings.pushFanOut).forEach { peer ->
            outbox.request(peer.controlEndpoint, Push(batch)) {
                post(ControlEvent.PushAnswered(it, peer.controlEndpoint))
            }
        }
    }

    private fun answerPush(
        push: Push,
        view: FleetView,
    ): FrameBody {
        take(push.batch, view, Origin.PEER)
        return NothingNew(position)
    }

    private fun waitAfterRefusal(
        refused: Refused,
        nowMillis: Long,
    ) {
        val wait = refused.retryAfterMillis.coerceIn(0, settings.maxBackoffMillis)
        nextPullAtMillis = nowMillis + wait + backoff.nextMillis()
    }

    private fun anyPeer(view: FleetView): Endpoint? {
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
        LOG.error("the node at {} holds another state at offset {}", endpoint, position.offset)
    }

    /** Says where a configuration came from. */
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
