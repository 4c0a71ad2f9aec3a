package dev.baobabhollow.node

import dev.baobabhollow.membership.FleetView
import dev.baobabhollow.model.ConfigurationState
import dev.baobabhollow.model.MoveId

/** Shows what a node knows at one moment. [lacking] says what keeps it from being ready. */
internal data class NodeSnapshot(
    val state: ConfigurationState,
    val view: FleetView,
    val heldMoves: Set<MoveId>,
    val lacking: List<String>,
    val upSinceMillis: Long,
)
