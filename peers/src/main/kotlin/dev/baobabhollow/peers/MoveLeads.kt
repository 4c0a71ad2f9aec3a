package dev.baobabhollow.peers

import dev.baobabhollow.membership.FleetView
import dev.baobabhollow.membership.rankNodes
import dev.baobabhollow.model.FailureDomainId
import dev.baobabhollow.model.MoveId
import dev.baobabhollow.model.NodeRecord

/** Returns the nodes that decide on [move]: the lead, then its substitute, preferably in another failure domain. */
internal fun rankLeads(
    move: MoveId,
    view: FleetView,
): List<NodeRecord> {
    val ranked = ranked(move, view.live(), view)
    val lead = ranked.firstOrNull() ?: return emptyList()
    val others = ranked.drop(1)
    val substitute = others.firstOrNull { it.failureDomain != lead.failureDomain } ?: others.firstOrNull()
    return listOfNotNull(lead, substitute)
}

/** Returns the node that judges [move] for [domain] while the leads are unreachable, or null if no node is live. */
internal fun domainLead(
    move: MoveId,
    domain: FailureDomainId,
    view: FleetView,
): NodeRecord? = ranked(move, view.liveIn(domain), view).firstOrNull()

private fun ranked(
    move: MoveId,
    nodes: List<NodeRecord>,
    view: FleetView,
): List<NodeRecord> = rankNodes("move/$move", nodes.map { it.node }).map(view.nodes::getValue)
