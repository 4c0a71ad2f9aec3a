package dev.baobabhollow.membership

import dev.baobabhollow.model.Endpoint
import dev.baobabhollow.model.NodeRecord

/**
 * Keeps the list of nodes and detects failed ones. Performs no I/O: every call returns the messages to send. Not safe for
 * use by several threads.
 */
interface Membership {
    /** Current view of the fleet. */
    val view: FleetView

    /** Returns messages that ask the nodes at [seeds] for their views. */
    fun join(
        seeds: List<Endpoint>,
        nowMillis: Long,
    ): List<OutgoingMessage>

    /** Does what is due at [nowMillis]: probes, timeouts and exchanges between failure domains. */
    fun tick(nowMillis: Long): List<OutgoingMessage>

    /** Takes in [message] and returns replies and forwards. */
    fun receive(
        message: MembershipMessage,
        nowMillis: Long,
    ): List<OutgoingMessage>

    /** Returns a message without a request, for a sender that has something else to carry at once. */
    fun gossipMessage(): MembershipMessage

    /** Changes this node's own record; the incarnation is raised by the aggregate. */
    fun announce(change: (NodeRecord) -> NodeRecord)
}

/** Addresses [message] to the node at [to]. */
data class OutgoingMessage(
    val to: Endpoint,
    val message: MembershipMessage,
)
