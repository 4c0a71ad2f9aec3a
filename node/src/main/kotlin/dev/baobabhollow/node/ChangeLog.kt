package dev.baobabhollow.node

import dev.baobabhollow.membership.FleetView
import dev.baobabhollow.model.ConfigurationState
import dev.baobabhollow.model.MoveId
import dev.baobabhollow.model.NodeId
import dev.baobabhollow.model.NodeRecord
import org.apache.logging.log4j.Level

/**
 * Logs each change of the version, of moves with their reasons and evidence, and of other nodes with their targets. Not
 * thread-safe.
 */
internal class ChangeLog {
    private var state = ConfigurationState.INITIAL
    private var nodes: Map<NodeId, NodeRecord> = emptyMap()
    private var held: Set<MoveId> = emptySet()

    /** Logs the differences from the arguments of the previous call. */
    fun logChanges(
        state: ConfigurationState,
        view: FleetView,
        held: Set<MoveId>,
    ) {
        if (state.version != this.state.version) {
            EventLog.write("version_in_force", "version" to state.version, "offset" to state.offset)
        }
        if (state.moves != this.state.moves) logMoves(state)
        if (state.evacuatedDomains != this.state.evacuatedDomains) logEvacuations(state)
        (held - this.held).forEach { EventLog.write("move_held", "move" to it, level = Level.WARN) }
        logNodes(view)
        this.state = state
        this.held = held
    }

    private fun logEvacuations(state: ConfigurationState) =
        EventLog.write(
            "evacuation_changed",
            "domains" to state.evacuatedDomains,
            "before" to this.state.evacuatedDomains,
            "offset" to state.offset,
        )

    private fun logMoves(state: ConfigurationState) =
        state.moves.filter { (id, move) -> this.state.moves[id] != move }.forEach { (id, move) ->
            EventLog.write(
                "move_stage",
                "move" to id,
                "to" to move.plan.to,
                "stage" to move.stage,
                "phase" to move.phase,
                "sharePermille" to move.sharePermille,
                "completeByMillis" to move.plan.completeByMillis,
                "reason" to move.reason,
                "evidence" to move.evidence,
            )
        }

    private fun logNodes(view: FleetView) {
        val changed = view.nodes.values.filter { hasChanged(it, nodes[it.node]) }
        nodes = view.nodes
        changed.take(MAX_LINES).forEach { EventLog.write("node_seen", "other" to it.node, "record" to describe(it)) }
        if (changed.size > MAX_LINES) EventLog.write("nodes_seen", "others" to changed.size - MAX_LINES)
    }

    /** Checks identity first, since most records are unchanged; others can differ in fields that are not logged. */
    private fun hasChanged(
        record: NodeRecord,
        before: NodeRecord?,
    ) = record !== before && (before == null || describe(record) != describe(before))

    private fun describe(record: NodeRecord): String {
        val target = record.target
        val service = target?.let { "${it.service} ${it.release} ${it.instance} ${it.status}" }
        return "${record.status} incarnation ${record.incarnation} target $service"
    }

    private companion object {
        /** Limits the lines after a mass restart, which changes many nodes at once; the rest is logged as a number. */
        const val MAX_LINES = 8
    }
}
