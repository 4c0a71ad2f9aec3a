package dev.baobabhollow.membership

import dev.baobabhollow.model.Endpoint
import dev.baobabhollow.model.NodeRecord
import dev.baobabhollow.model.TargetRecord

/**
 * SWIM membership: maintains the list of nodes and detects failed ones. Performs no I/O: calls return the messages to
 * send. Not thread-safe.
 */
interface Membership {
    /** Current view of the fleet. */
    val view: FleetView

    /** Returns messages that ask the nodes at [seeds] for their views. */
    fun join(
        seeds: List<Endpoint>,
        nowMillis: Long,
    ): List<OutgoingMessage>

    /** Performs the work due at [nowMillis] (probes, timeouts and reconciliation) and returns the messages to send. */
    fun tick(nowMillis: Long): List<OutgoingMessage>

    /** Processes [message] and returns the responses and forwarded messages. */
    fun receive(
        message: MembershipMessage,
        nowMillis: Long,
    ): List<OutgoingMessage>

    /** Returns a message that needs no response, to piggyback pending updates on data that is sent anyway. */
    fun gossipMessage(): MembershipMessage

    /**
     * Returns the target that an earlier process of this node has withdrawn, as another node remembers it, or null. Each
     * memory is returned once.
     */
    fun takeEarlierWithdrawal(): TargetRecord?

    /** Applies [change] to this node's own record and raises its incarnation. */
    fun announce(change: (NodeRecord) -> NodeRecord)
}

/** [message] to be sent to the node at [to]. */
data class OutgoingMessage(
    val to: Endpoint,
    val message: MembershipMessage,
)
