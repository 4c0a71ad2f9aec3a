package dev.baobabhollow.peers

import dev.baobabhollow.membership.FleetView
import dev.baobabhollow.membership.membership
import dev.baobabhollow.model.ConfigurationState
import dev.baobabhollow.model.Endpoint
import dev.baobabhollow.model.MoveEvidence
import dev.baobabhollow.model.MoveId
import dev.baobabhollow.model.MoveStageRecord
import dev.baobabhollow.model.NodeRecord
import dev.baobabhollow.model.OrderedStage
import dev.baobabhollow.model.OutcomeSummary
import dev.baobabhollow.model.PlatformLog
import dev.baobabhollow.model.RecordBody
import dev.baobabhollow.model.SnapshotRecord
import dev.baobabhollow.model.TargetRecord
import dev.baobabhollow.model.TargetStatus
import dev.baobabhollow.model.WriterId
import io.prometheus.metrics.model.registry.PrometheusRegistry
import java.util.SplittableRandom
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit
import java.util.concurrent.TimeoutException
import java.util.random.RandomGenerator

/**
 * Control plane of one node: replicates the configuration, tracks the other nodes and decides on moves.
 *
 * [ControlCallbacks.onChange] is called on the control thread. All functions may be called from any thread.
 */
class ControlPlane(
    private val settings: ControlPlaneSettings,
    private val self: NodeRecord,
    log: PlatformLog,
    private val clock: () -> Long,
    random: RandomGenerator,
    registry: PrometheusRegistry,
    private val callbacks: ControlCallbacks,
) : AutoCloseable {
    private val metrics = ControlMetrics(registry)
    private val events = ControlRing<ControlEvent>("control", settings.ringCapacity, metrics)
    private val summaries = ControlRing<OutcomeSummary>("summaries", settings.summaryRingCapacity, metrics)
    private val transport = PeerTransport(self.controlEndpoint, settings, metrics, EventHandler())
    private val peerSender = PeerSender(self, transport, settings, metrics, clock, callbacks.dropsControl)
    private val reader = LogReader(log, clock, settings, metrics, split(random), events::offer)
    private val writer = LogWriter(log, writerId(random), clock, settings, metrics, split(random), events::offer)
    private val dissemination = Dissemination(self, settings, peerSender, metrics, split(random), ::post)
    private val orderedMoves = OrderedMoves(clock)
    private val coordinator: MoveCoordinator =
        MoveCoordinator(self, settings, clock, callbacks.judgeFor, ::appendStage) { core.spread(it) }
    private val outcomeSender =
        OutcomeSender(self, settings, coordinator) { to, body ->
            peerSender.request(to.controlEndpoint, body) { post(ControlEvent.OutcomesAnswered(it.isOk)) }
        }
    private val logDuty = LogDuty(self, settings, clock, reader::follow, ::appendSnapshot)
    private val core: ControlCore =
        ControlCore(
            self = self,
            settings = settings,
            membership = membership(self, settings.membership, split(random)),
            peerSender = peerSender,
            announcements = Announcements(self, settings, split(random)),
            dissemination = dissemination,
            coordinator = coordinator,
            orderedMoves = orderedMoves,
            outcomeSender = outcomeSender,
            logDuty = logDuty,
            metrics = metrics,
            storeAgain = ::storeAgain,
            onEarlierWithdrawal = callbacks.onEarlierWithdrawal,
        )
    private val thread = ControlThread(settings, core, events, summaries, callbacks.onChange)

    /** Latest confirmed configuration state, or the initial one. */
    val state: ConfigurationState get() = thread.published.state

    /** Era of the log in the latest confirmed state. It increases when the log returns from an older copy. */
    val era: Long get() = state.era

    /** Latest view of the fleet. */
    val view: FleetView get() = thread.published.view

    /** Moves whose new releases must receive no calls from this node. */
    val heldMoves: Set<MoveId> get() = thread.published.held

    /** What the node still needs before it may take calls. */
    val readiness: Readiness get() = thread.published.readiness

    /** False until a state was obtained from peers or the log. */
    val isReady: Boolean get() = readiness.isReady

    /** Returns the busy times of the control thread since the last call. */
    fun takeThreadTimes(): ControlThreadTimes = thread.takeThreadTimes()

    /** Binds the control port and starts all threads. Throws if the port is in use. */
    fun start() {
        transport.start()
        thread.start()
        reader.start()
        writer.start()
    }

    /** Queues call outcomes of the own target. Returns false if the ring is full. */
    fun observe(summary: OutcomeSummary): Boolean = summaries.offer(summary)

    /** Sends [message] in a datagram to the control endpoint [to]. It may be lost. */
    fun sendQuotaMessage(
        to: Endpoint,
        message: QuotaMessage,
    ) = transport.send(to, QuotaCodec.encode(message))

    /** Announces the status of the own target to all nodes. */
    fun announceTarget(status: TargetStatus): Boolean =
        changeSelf { record -> record.copy(target = record.target?.copy(status = status)) }

    /**
     * Announces [target] as the own target, or that there is none if it is null. Calls [onSent] on the control thread when
     * other nodes were told.
     */
    fun announceTarget(
        target: TargetRecord?,
        onSent: () -> Unit = { },
    ): Boolean = changeSelf(onSent) { it.copy(target = target) }

    /** Joins the nodes at [endpoints], found by other means than the membership. Returns false if the ring is full. */
    fun join(endpoints: List<Endpoint>): Boolean = events.offer(ControlEvent.ContactsFound(endpoints))

    /**
     * Announces that this node leaves. Returns true once the announcement has been sent in all rounds, or false if that
     * was not done by [deadlineMillis] (epoch milliseconds).
     */
    fun leave(deadlineMillis: Long): Boolean {
        val done = CompletableFuture<Unit>()
        if (!events.offer(ControlEvent.LeaveRequested(done))) return false
        return try {
            done.get((deadlineMillis - clock()).coerceIn(0, MAX_LEAVE_MILLIS), TimeUnit.MILLISECONDS)
            true
        } catch (_: TimeoutException) {
            false
        }
    }

    override fun close() {
        reader.shutdown()
        writer.shutdown()
        thread.shutdown()
        transport.close()
    }

    private fun changeSelf(
        onSent: () -> Unit = { },
        change: (NodeRecord) -> NodeRecord,
    ): Boolean = events.offer(ControlEvent.SelfChanged(change, onSent))

    private fun post(event: ControlEvent) {
        events.offer(event)
    }

    private fun appendStage(record: MoveStageRecord): Boolean {
        val stage = core.applyOrderedStage(record)
        val isOrdered = stage != null
        // Operators read only the first and the final stage of an ordered move.
        if (isOrdered && !record.phase.isFinal && record.follows > 0) return true
        return writer.offer(AppendRequest(record, stage = stage) { isWanted(record, isOrdered) })
    }

    private fun isWanted(
        record: MoveStageRecord,
        isOrdered: Boolean,
    ): Boolean {
        if (!isOrdered) return coordinator.isWanted(record, state, heldMoves)
        return !coordinator.isObsolete(record, state)
    }

    /** Stores [stage], which the log has lost, under a condition that is obtained anew for each attempt. */
    private fun storeAgain(stage: OrderedStage) {
        val record =
            MoveStageRecord(stage.move, stage.stage, stage.phase, stage.sharePermille, stage.reason, MoveEvidence.NONE)
        writer.offer(AppendRequest(record, stage = stage) { stage.move in state.moves })
    }

    private fun appendSnapshot(record: SnapshotRecord): Boolean =
        append(record, isRetried = false) { state.snapshotOffset < record.throughOffset }

    private fun append(
        body: RecordBody,
        isRetried: Boolean = true,
        isWanted: () -> Boolean,
    ): Boolean = writer.offer(AppendRequest(body, isRetried, isWanted = isWanted))

    private fun writerId(random: RandomGenerator): WriterId {
        val start = java.lang.Long.toHexString(random.nextLong())
        return WriterId("${self.node}/${self.incarnation}/$start")
    }

    private inner class EventHandler : PeerHandler {
        override fun onDatagram(datagram: PeerDatagram) = post(ControlEvent.DatagramArrived(datagram))

        override fun onQuotaMessage(
            message: QuotaMessage,
            from: Endpoint,
        ) = callbacks.onQuotaMessage(message, from)

        override fun onRequest(
            frame: PeerFrame,
            reply: (PeerFrame) -> Unit,
        ) = post(ControlEvent.RequestArrived(frame, reply))
    }

    private companion object {
        /** Bounds the wait if the clock steps. */
        const val MAX_LEAVE_MILLIS = 10_000L

        fun split(random: RandomGenerator): RandomGenerator = SplittableRandom(random.nextLong())
    }
}
