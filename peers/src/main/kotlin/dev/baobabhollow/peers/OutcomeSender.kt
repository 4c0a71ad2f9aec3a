package dev.baobabhollow.peers

import dev.baobabhollow.membership.FleetView
import dev.baobabhollow.model.ConfigurationState
import dev.baobabhollow.model.MoveId
import dev.baobabhollow.model.NodeRecord
import dev.baobabhollow.model.OutcomeSummary

/**
 * Sends this node's call outcomes of running moves to the leads, and while none of them answers to the lead of the own
 * failure domain. Belongs to the control thread.
 */
internal class OutcomeSender(
    private val self: NodeRecord,
    private val settings: ControlPlaneSettings,
    private val board: MoveBoard,
    private val send: (NodeRecord, Outcomes) -> Unit,
) {
    private val waiting = HashMap<MoveId, MutableList<OutcomeSummary>>()
    private var nextSendMillis = 0L
    private var unansweredSinceMillis: Long? = null

    fun add(
        summary: OutcomeSummary,
        state: ConfigurationState,
    ) {
        val (move, _) = MoveBoard.runningMoveOf(summary, state) ?: return
        board.observe(summary, state)
        val list = waiting.getOrPut(move) { mutableListOf() }
        if (list.size >= MAX_WAITING) list.removeAt(0)
        list += summary
    }

    fun tick(
        view: FleetView,
        nowMillis: Long,
    ) {
        if (nowMillis < nextSendMillis || waiting.isEmpty()) return
        nextSendMillis = nowMillis + settings.summaryPeriodMillis
        waiting.forEach { (move, summaries) -> sendToLeads(move, summaries, view, nowMillis) }
        waiting.clear()
    }

    fun takeAnswer(
        isDelivered: Boolean,
        nowMillis: Long,
    ) {
        unansweredSinceMillis = if (isDelivered) null else unansweredSinceMillis ?: nowMillis
    }

    private fun sendToLeads(
        move: MoveId,
        summaries: List<OutcomeSummary>,
        view: FleetView,
        nowMillis: Long,
    ) {
        val leads = rankLeads(move, view)
        val isLead = leads.any { it.node == self.node }
        leads.filter { it.node != self.node }.forEach { send(it, Outcomes(summaries)) }
        val since = unansweredSinceMillis ?: return
        if (isLead || nowMillis - since < settings.leadSilenceMillis) return
        board.judgeLocally(move, nowMillis)
        val near = domainLead(move, self.failureDomain, view)
        if (near != null && near.node != self.node) send(near, Outcomes(summaries, isLeadSilent = true))
    }

    private companion object {
        const val MAX_WAITING = 256
    }
}
