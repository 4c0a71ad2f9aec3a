package dev.baobabhollow.peers

import dev.baobabhollow.membership.FleetView
import dev.baobabhollow.model.ConfigurationState
import dev.baobabhollow.model.MoveId
import dev.baobabhollow.model.NodeRecord
import dev.baobabhollow.model.OutcomeSummary

/**
 * Sends this node's call outcomes of running moves to the leads and, while no lead responds, also to the node that
 * judges for the own failure domain. Confined to the control thread.
 */
internal class OutcomeSender(
    private val self: NodeRecord,
    private val settings: ControlPlaneSettings,
    private val coordinator: MoveCoordinator,
    private val send: (NodeRecord, Outcomes) -> Unit,
) {
    private val pending = HashMap<MoveId, MutableList<OutcomeSummary>>()
    private var nextSendMillis = 0L
    private var unansweredSinceMillis: Long? = null

    fun add(
        summary: OutcomeSummary,
        state: ConfigurationState,
    ) {
        val (move, _) = MoveCoordinator.runningMoveOf(summary, state) ?: return
        coordinator.observe(summary, state)
        val list = pending.getOrPut(move) { mutableListOf() }
        if (list.size >= MAX_PENDING_SUMMARIES) list.removeAt(0)
        list += summary
    }

    fun tick(
        view: FleetView,
        nowMillis: Long,
    ) {
        if (nowMillis < nextSendMillis || pending.isEmpty()) return
        nextSendMillis = nowMillis + settings.summaryPeriodMillis
        pending.forEach { (move, summaries) -> sendToLeads(move, summaries, view, nowMillis) }
        pending.clear()
    }

    fun handleDeliveryResult(
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
        coordinator.judgeLocally(move, nowMillis)
        val localLead = domainLead(move, self.failureDomain, view)
        if (localLead != null && localLead.node != self.node) send(localLead, Outcomes(summaries, isLeadSilent = true))
    }

    private companion object {
        const val MAX_PENDING_SUMMARIES = 256
    }
}
