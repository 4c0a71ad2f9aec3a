package dev.baobabhollow.node

import dev.baobabhollow.membership.FleetView
import dev.baobabhollow.model.ConfigurationState
import dev.baobabhollow.model.MoveId

/** State of a node at one point in time. [lacking] lists the conditions that the node must still meet to be ready. */
internal data class NodeSnapshot(
    val state: ConfigurationState,
    val view: FleetView,
    val heldMoves: Set<MoveId>,
    val lacking: List<String>,
    val upSinceMillis: Long,
)
