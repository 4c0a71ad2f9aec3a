package dev.baobabhollow.peers

import dev.baobabhollow.membership.FleetView
import dev.baobabhollow.model.ConfigurationState
import dev.baobabhollow.model.FailureDomainId
import dev.baobabhollow.model.MoveId
import dev.baobabhollow.model.MoveState
import dev.baobabhollow.moves.MoveJudge

/**
 * Connects a control plane with its node. All functions are called on the control thread and must not block.
 *
 * [onChange] gets the new state, view and held moves whenever one of them has changed. [judgeFor] creates the judge of a
 * running move. [dropsControl] is for fault injection: control messages from and to the failure domains for which it
 * returns true are dropped; it is also called on threads of the transport.
 */
data class ControlCallbacks(
    val judgeFor: (MoveId, MoveState) -> MoveJudge,
    val onChange: (ConfigurationState, FleetView, Set<MoveId>) -> Unit = { _, _, _ -> },
    val dropsControl: (FailureDomainId) -> Boolean = { false },
)
