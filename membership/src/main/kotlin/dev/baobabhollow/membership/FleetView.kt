package dev.baobabhollow.membership

import dev.baobabhollow.model.FailureDomainId
import dev.baobabhollow.model.NodeId
import dev.baobabhollow.model.NodeRecord
import dev.baobabhollow.model.NodeStatus

/** Immutable snapshot of all nodes that one node knows, itself included. [revision] rises with every change. */
data class FleetView(
    val self: NodeId,
    val nodes: Map<NodeId, NodeRecord>,
    val revision: Long,
) {
    /** Returns the nodes that are neither leaving nor dead. */
    fun live(): List<NodeRecord> =
        nodes.values.filter {
            it.status == NodeStatus.ALIVE ||
                it.status == NodeStatus.SUSPECT
        }

    /** Returns the live nodes of [failureDomain]. */
    fun liveIn(failureDomain: FailureDomainId): List<NodeRecord> = live().filter { it.failureDomain == failureDomain }
}
