package dev.baobabhollow.peers

import dev.baobabhollow.membership.FleetView
import dev.baobabhollow.membership.Membership
import dev.baobabhollow.membership.OutgoingMessage
import dev.baobabhollow.model.ConfigurationState
import dev.baobabhollow.model.Endpoint
import dev.baobabhollow.model.LogError
import dev.baobabhollow.model.LogPosition
import dev.baobabhollow.model.MoveId
import dev.baobabhollow.model.MoveStageRecord
import dev.baobabhollow.model.NodeRecord
import dev.baobabhollow.model.NodeStatus
import dev.baobabhollow.model.OrderedStage
import dev.baobabhollow.model.OutcomeSummary
import dev.baobabhollow.model.TargetRecord

/** Dispatches events and ticks on the control thread. All times are monotonic milliseconds. */
internal class ControlCore(
    private val self: NodeRecord,
    private val settings: ControlPlaneSettings,
    private val membership: Membership,
    private val peerSender: PeerSender,
    private val announcements: Announcements,
    private val dissemination: Dissemination,
    private val coordinator: MoveCoordinator,
    private val orderedMoves: OrderedMoves,
    private val outcomeSender: OutcomeSender,
    private val logDuty: LogDuty,
    private val metrics: ControlMetrics,
    private val storeAgain: (OrderedStage) -> Unit,
    private val onEarlierWithdrawal: (TargetRecord) -> Unit,
) {
    private var lastPeerMessageMillis: Long? = null
    private var startedMillis = 0L
    private var pendingLeave: ControlEvent.LeaveRequested? = null
    private var leaveSentAtMillis = 0L

    val view: FleetView get() = membership.view

    /** Initial until confirmed: a state that hasn't reached the end of the log is stale and must route no calls. */
    val state: ConfigurationState
        get() = if (position.isConfirmed) orderedMoves.mergeInto(dissemination.state) else ConfigurationState.INITIAL
    val position: Position get() = dissemination.position
    val held: Set<MoveId> get() = coordinator.held

    fun start(nowMillis: Long) {
        startedMillis = nowMillis
        send(membership.join(settings.seeds, nowMillis))
    }

    fun tick(nowMillis: Long) {
        send(membership.tick(nowMillis))
        peerSender.updateView(view)
        dissemination.tick(view, nowMillis)
        coordinator.tick(state, view, nowMillis)
        outcomeSender.tick(view, nowMillis)
        logDuty.tick(
            view,
            position,
            dissemination.state,
            silenceMillis(nowMillis),
            nowMillis - startedMillis,
            nowMillis,
        )
        announceRecords(nowMillis)
        metrics.showLiveNodes(view.live().size)
        completeLeave(nowMillis)
    }

    fun handle(
        event: ControlEvent,
        nowMillis: Long,
    ) {
        when (event) {
            is ControlEvent.DatagramArrived -> handleDatagram(event.datagram, nowMillis)
            is ControlEvent.RequestArrived -> handleRequest(event, nowMillis)
            is ControlEvent.PullAnswered -> dissemination.handlePullResponse(event.answer, view, nowMillis)
            is ControlEvent.PushAnswered -> dissemination.handlePushResponse(event.answer, event.receiver, nowMillis)
            is ControlEvent.OutcomesAnswered -> outcomeSender.handleDeliveryResult(event.isDelivered, nowMillis)
            is ControlEvent.LogRead -> handleLogRead(event)
            is ControlEvent.LogStateFound -> applyLogState(event)
            is ControlEvent.LogFailed -> handleLogError(event.error)
            is ControlEvent.AppendFinished -> handleAppendFinished(event)
            is ControlEvent.StagesRead -> handleStages(event.stages)
            is ControlEvent.ContactsFound -> send(membership.join(event.endpoints, nowMillis))
            is ControlEvent.SelfChanged -> handleSelfChange(event, nowMillis)
            is ControlEvent.LeaveRequested -> leave(event, nowMillis)
        }
        announceRecords(nowMillis)
    }

    /** Sends datagrams with the new position, so that peers that are behind pull the missing records. */
    private fun announceRecords(nowMillis: Long) =
        spread(announcements.due(position, view, nowMillis), emptyList(), emptyList())

    fun observe(summary: OutcomeSummary) = outcomeSender.add(summary, state)

    /** Sends [alert] to some peers at once. Later datagrams repeat it. */
    fun spread(alert: MoveAlert) = spread(listOf(alert), emptyList())

    private fun spread(
        alerts: List<MoveAlert>,
        stages: List<OrderedStage>,
    ) = spread(announcements.receivers(view), alerts, stages)

    private fun spread(
        receivers: List<NodeRecord>,
        alerts: List<MoveAlert>,
        stages: List<OrderedStage>,
    ) {
        if (receivers.isEmpty()) return
        val message = membership.gossipMessage()
        receivers.forEach { peerSender.send(OutgoingMessage(it.controlEndpoint, message), position, alerts, stages) }
    }

    /**
     * Applies [record] of an ordered move at once, unless it is final: final stages take effect only once the log holds
     * them. Returns the proposed stage, or null for moves whose stages are records of the configuration stream.
     */
    fun applyOrderedStage(record: MoveStageRecord): OrderedStage? {
        val proposed = orderedMoves.proposed(record) ?: return null
        if (!record.phase.isFinal) orderedMoves.apply(record)?.let { spread(emptyList(), listOf(it)) }
        return proposed
    }

    private fun send(messages: List<OutgoingMessage>) {
        peerSender.updateView(view)
        messages.forEach { peerSender.send(it, position, coordinator.alertsToRepeat(), orderedMoves.stagesToRepeat()) }
    }

    private fun handleDatagram(
        datagram: PeerDatagram,
        nowMillis: Long,
    ) {
        val sender = datagram.message.sender
        if (sender.node == self.node || peerSender.isDroppedFrom(sender.failureDomain)) return
        lastPeerMessageMillis = nowMillis
        send(membership.receive(datagram.message, nowMillis))
        membership.takeEarlierWithdrawal()?.let(onEarlierWithdrawal)
        dissemination.compare(datagram.position, sender.endpoint, nowMillis)
        val news = datagram.sentAtMillis?.let { sentAt -> datagram.stages.filter { orderedMoves.merge(it, sentAt) } }
        if (!news.isNullOrEmpty()) spread(emptyList(), news)
        datagram.alerts.forEach {
            val alert = it.copy(move = orderedMoves.continuedMove(it.move))
            coordinator.handleAlert(alert, state, nowMillis)
        }
    }

    private fun handleRequest(
        event: ControlEvent.RequestArrived,
        nowMillis: Long,
    ) {
        val frame = event.frame
        if (peerSender.isDroppedFrom(frame.failureDomain)) return
        lastPeerMessageMillis = nowMillis
        val body = frame.body
        if (body is Outcomes) handleOutcomes(body, nowMillis)
        val response = dissemination.handleRequest(body, view, nowMillis)
        if (body is Push) recordPush(body, view.nodes[frame.from]?.controlEndpoint, nowMillis)
        event.reply(peerSender.frame(response))
    }

    private fun recordPush(
        push: Push,
        sender: Endpoint?,
        nowMillis: Long,
    ) {
        val last = push.batch.entries.lastOrNull() ?: return
        if (sender != null) dissemination.recordPush(LogPosition(push.batch.era, last.offset), sender, nowMillis)
    }

    private fun handleOutcomes(
        body: Outcomes,
        nowMillis: Long,
    ) {
        body.summaries.forEach { coordinator.observe(it, state) }
        if (!body.isLeadSilent) return
        body.summaries
            .mapNotNull { MoveCoordinator.runningMoveOf(it, state)?.first }
            .distinct()
            .forEach { coordinator.judgeLocally(it, nowMillis) }
    }

    private fun handleLogRead(event: ControlEvent.LogRead) {
        dissemination.applyLogBatch(event.afterOffset, event.batch, view)
        logDuty.recordRead(event.batch)
        logDuty.updateReader(position)
        event.done.complete(Unit)
    }

    private fun applyLogState(event: ControlEvent.LogStateFound) {
        dissemination.applyLogState(event.state)
        logDuty.updateReader(position)
        event.done.complete(Unit)
    }

    /** Adopts the stages that the log holds. In a later era, also stores those again that the log has lost. */
    private fun handleStages(stages: List<OrderedStage>) {
        stages.forEach { orderedMoves.merge(it) }
        if (position.era == 0L) return
        orderedMoves.mergeInto(dissemination.state)
        orderedMoves.lostStages(stages).forEach(storeAgain)
    }

    private fun handleLogError(error: LogError) {
        logDuty.recordError(error)
        if (error is LogError.Trimmed) dissemination.pullFromAnyPeer(view)
    }

    private fun handleAppendFinished(event: ControlEvent.AppendFinished) {
        event.stage?.let { if (orderedMoves.merge(it)) spread(emptyList(), listOf(it)) }
        coordinator.handleAppendResult(event.record, event.offset)
        logDuty.recordAppend(event.record)
    }

    private fun handleSelfChange(
        event: ControlEvent.SelfChanged,
        nowMillis: Long,
    ) {
        changeSelf(event.change, nowMillis)
        event.onSent()
    }

    private fun changeSelf(
        change: (NodeRecord) -> NodeRecord,
        nowMillis: Long,
    ) {
        val isLeaving = membership.view.nodes[self.node]?.status == NodeStatus.LEAVING
        membership.announce { old ->
            val next = change(old)
            if (isLeaving) next.copy(status = NodeStatus.LEAVING) else next
        }
        send(membership.tick(nowMillis))
    }

    private fun leave(
        event: ControlEvent.LeaveRequested,
        nowMillis: Long,
    ) {
        changeSelf({ it.copy(status = NodeStatus.LEAVING) }, nowMillis)
        pendingLeave = event
        leaveSentAtMillis = nowMillis + settings.membership.urgentPeriodMillis * LEAVING_ROUNDS
    }

    private fun completeLeave(nowMillis: Long) {
        if (nowMillis < leaveSentAtMillis) return
        pendingLeave?.done?.complete(Unit)
        pendingLeave = null
    }

    private fun silenceMillis(nowMillis: Long): Long = nowMillis - (lastPeerMessageMillis ?: startedMillis)

    /** Returns what the node still needs before it may take calls. */
    fun readiness(): Readiness {
        if (position.isConfirmed) return Readiness(emptyList())
        val peers = view.live().size - 1
        val log = logDuty.lastError?.let { "platform log: $it" } ?: "platform log: not read"
        return Readiness(listOf("configuration state: $peers peers known, none has one", log))
    }

    private companion object {
        /** Three rounds are sent within two periods; the third period lets the last one leave the socket. */
        const val LEAVING_ROUNDS = 3
    }
}
