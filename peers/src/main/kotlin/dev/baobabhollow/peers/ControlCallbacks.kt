package dev.baobabhollow.peers

import dev.baobabhollow.membership.FleetView
import dev.baobabhollow.model.ConfigurationState
import dev.baobabhollow.model.Endpoint
import dev.baobabhollow.model.FailureDomainId
import dev.baobabhollow.model.MoveId
import dev.baobabhollow.model.MoveState
import dev.baobabhollow.model.TargetRecord
import dev.baobabhollow.moves.MoveJudge

/**
 * Callbacks of a control plane into its node. They are called on the control thread and must not block.
 *
 * [judgeFor] creates the judge of a running move. [onChange] receives the state, view and held moves whenever one of
 * them has changed. [dropsControl] is for fault injection: control messages from and to a failure domain for which it
 * returns true are dropped. It is also called on threads of the transport. [onQuotaMessage] receives messages about
 * quotas and the control endpoint of their sender; it is called on threads of the transport. [onEarlierWithdrawal] gets
 * the target that an earlier process of this node withdrew, as another node remembers it.
 */
data class ControlCallbacks(
    val judgeFor: (MoveId, MoveState) -> MoveJudge,
    val onChange: (ConfigurationState, FleetView, Set<MoveId>) -> Unit = { _, _, _ -> },
    val dropsControl: (FailureDomainId) -> Boolean = { false },
    val onQuotaMessage: (QuotaMessage, Endpoint) -> Unit = { _, _ -> },
    val onEarlierWithdrawal: (TargetRecord) -> Unit = { },
)
