package dev.baobabhollow.peers

import dev.baobabhollow.membership.FleetView
import dev.baobabhollow.membership.Membership
import dev.baobabhollow.membership.OutgoingMessage
import dev.baobabhollow.model.ConfigurationState
import dev.baobabhollow.model.Endpoint
import dev.baobabhollow.model.LogError
import dev.baobabhollow.model.MoveId
import dev.baobabhollow.model.MoveStageRecord
import dev.baobabhollow.model.NodeRecord
import dev.baobabhollow.model.NodeStatus
import dev.baobabhollow.model.OrderedStage
import dev.baobabhollow.model.OutcomeSummary

/** Runs the aggregates on the control thread. All times are elapsed milliseconds, which no clock step changes. */
internal class ControlCore(
    private val self: NodeRecord,
    private val settings: ControlPlaneSettings,
    private val membership: Membership,
    private val outbox: Outbox,
    private val announcements: Announcements,
    private val dissemination: Dissemination,
    private val board: MoveBoard,
    private val ordered: OrderedMoves,
    private val outcomes: OutcomeSender,
    private val logDuty: LogDuty,
    private val metrics: ControlMetrics,
) {
    private var lastPeerMillis: Long? = null
    private var startedMillis = 0L
    private var leaving: ControlEvent.LeaveRequested? = null
    private var leftAtMillis = 0L

    val view: FleetView get() = membership.view

    /** A state that has not reached the end of the log is an old one, by which no call may be routed. */
    val state: ConfigurationState
        get() = if (position.isConfirmed) ordered.mergeInto(dissemination.state) else ConfigurationState.INITIAL
    val position: Position get() = dissemination.position
    val held: Set<MoveId> get() = board.held

    fun start(nowMillis: Long) {
        startedMillis = nowMillis
        send(membership.join(settings.seeds, nowMillis))
    }

    fun tick(nowMillis: Long) {
        send(membership.tick(nowMillis))
        outbox.useView(view)
        dissemination.tick(view, nowMillis)
        board.tick(state, view, nowMillis)
        outcomes.tick(view, nowMillis)
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
            is ControlEvent.DatagramArrived -> takeDatagram(event.datagram, nowMillis)
            is ControlEvent.RequestArrived -> takeRequest(event, nowMillis)
            is ControlEvent.PullAnswered -> dissemination.takePullAnswer(event.answer, view, nowMillis)
            is ControlEvent.PushAnswered -> dissemination.takePushAnswer(event.answer, event.receiver, nowMillis)
            is ControlEvent.OutcomesAnswered -> outcomes.takeAnswer(event.isDelivered, nowMillis)
            is ControlEvent.LogRead -> takeLogRead(event)
            is ControlEvent.LogStateFound -> takeLogState(event)
            is ControlEvent.LogFailed -> takeLogError(event.error)
            is ControlEvent.AppendFinished -> takeAppend(event)
            is ControlEvent.StagesRead -> event.stages.forEach(ordered::take)
            is ControlEvent.ContactsFound -> send(membership.join(event.endpoints, nowMillis))
            is ControlEvent.SelfChanged -> changeSelf(event.change, nowMillis)
            is ControlEvent.LeaveRequested -> leave(event, nowMillis)
        }
        announceRecords(nowMillis)
    }

    /** A datagram tells peers the new position, so that those behind pull what they lack. */
    private fun announceRecords(nowMillis: Long) =
        spread(announcements.due(position, view, nowMillis), emptyList(), emptyList())

    fun observe(summary: OutcomeSummary) = outcomes.add(summary, state)

    /** Sends [alert] to some peers at once; it also rides along with all later datagrams. */
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
        receivers.forEach { outbox.send(OutgoingMessage(it.controlEndpoint, message), position, alerts, stages) }
    }

    /**
     * Puts [record] of an ordered move in force at once unless it is final, which the log decides. Returns null for moves
     * whose stages are records of the configuration stream.
     */
    fun takeOrderedStage(record: MoveStageRecord): OrderedStage? {
        val proposed = ordered.proposed(record) ?: return null
        if (!record.phase.isFinal) ordered.apply(record)?.let { spread(emptyList(), listOf(it)) }
        return proposed
    }

    private fun send(messages: List<OutgoingMessage>) {
        outbox.useView(view)
        messages.forEach { outbox.send(it, position, board.alertsToRepeat(), ordered.stagesToRepeat()) }
    }

    private fun takeDatagram(
        datagram: PeerDatagram,
        nowMillis: Long,
    ) {
        val sender = datagram.message.sender
        if (sender.node == self.node || outbox.isDroppedFrom(sender.failureDomain)) return
        lastPeerMillis = nowMillis
        send(membership.receive(datagram.message, nowMillis))
        dissemination.compare(datagram.position, sender.endpoint, nowMillis)
        val news = datagram.stages.filter(ordered::take)
        if (news.isNotEmpty()) spread(emptyList(), news)
        datagram.alerts.forEach { board.takeAlert(it, state, nowMillis) }
    }

    private fun takeRequest(
        event: ControlEvent.RequestArrived,
        nowMillis: Long,
    ) {
        val frame = event.frame
        if (outbox.isDroppedFrom(frame.failureDomain)) return
        lastPeerMillis = nowMillis
        val body = frame.body
        if (body is Outcomes) takeOutcomes(body, nowMillis)
        val answer = dissemination.answer(body, view, nowMillis)
        if (body is Push) notePush(body, view.nodes[frame.from]?.controlEndpoint, nowMillis)
        event.reply(outbox.frame(answer))
    }

    private fun notePush(
        push: Push,
        sender: Endpoint?,
        nowMillis: Long,
    ) {
        val last = push.batch.entries.lastOrNull() ?: return
        if (sender != null) dissemination.notePush(last.offset, sender, nowMillis)
    }

    private fun takeOutcomes(
        body: Outcomes,
        nowMillis: Long,
    ) {
        body.summaries.forEach { board.observe(it, state) }
        if (!body.isLeadSilent) return
        body.summaries
            .mapNotNull { MoveBoard.runningMoveOf(it, state)?.first }
            .distinct()
            .forEach { board.judgeLocally(it, nowMillis) }
    }

    private fun takeLogRead(event: ControlEvent.LogRead) {
        dissemination.takeLogBatch(event.afterOffset, event.batch, view)
        logDuty.noteRead(event.batch)
        logDuty.follow(position)
        event.done.complete(Unit)
    }

    private fun takeLogState(event: ControlEvent.LogStateFound) {
        dissemination.takeLogState(event.state)
        logDuty.follow(position)
        event.done.complete(Unit)
    }

    private fun takeLogError(error: LogError) {
        logDuty.noteError(error)
        if (error is LogError.Trimmed) dissemination.askAnyPeer(view)
    }

    private fun takeAppend(event: ControlEvent.AppendFinished) {
        event.stage?.let { if (ordered.take(it)) spread(emptyList(), listOf(it)) }
        board.takeAppendResult(event.record, event.offset)
        logDuty.noteAppend(event.record)
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
        leaving = event
        leftAtMillis = nowMillis + settings.membership.urgentPeriodMillis * LEAVING_ROUNDS
    }

    private fun completeLeave(nowMillis: Long) {
        if (nowMillis < leftAtMillis) return
        leaving?.done?.complete(Unit)
        leaving = null
    }

    private fun silenceMillis(nowMillis: Long): Long = nowMillis - (lastPeerMillis ?: startedMillis)

    /** Lists what the node lacks before it may take calls. */
    fun readiness(): Readiness {
        if (position.isConfirmed) return Readiness(emptyList())
        val peers = view.live().size - 1
        val log = logDuty.lastError?.let { "platform log: $it" } ?: "platform log: not read"
        return Readiness(listOf("configuration state: $peers peers known, none has one", log))
    }

    private companion object {
        /** The last of three rounds is sent after two periods; the third lets it leave the socket. */
        const val LEAVING_ROUNDS = 3
    }
}
