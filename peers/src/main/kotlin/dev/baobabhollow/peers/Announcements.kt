package dev.baobabhollow.peers

import dev.baobabhollow.membership.FleetView
import dev.baobabhollow.model.NO_OFFSET
import dev.baobabhollow.model.NodeRecord
import dev.baobabhollow.model.NodeStatus
import java.util.random.RandomGenerator

/**
 * Chooses the peers that are told of news at once, and repeats the news of a new position. All times are elapsed
 * milliseconds. Belongs to the control thread.
 *
 * A node that does not read the log depends on being told. The readers of its domain may have died a moment ago or may not
 * reach the log, so every node that has news tells some nodes of each domain.
 */
internal class Announcements(
    private val self: NodeRecord,
    private val settings: ControlPlaneSettings,
    private val random: RandomGenerator,
) {
    private var announcedOffset = NO_OFFSET
    private var roundsLeft = 0
    private var nextRoundMillis = 0L

    /** Returns the peers that are to be told of [position] now, if any. */
    fun due(
        position: Position,
        view: FleetView,
        nowMillis: Long,
    ): List<NodeRecord> {
        if (!settings.announcesRecords || !position.isConfirmed) return emptyList()
        if (position.offset > announcedOffset) {
            announcedOffset = position.offset
            roundsLeft = ROUNDS
            nextRoundMillis = nowMillis
        }
        if (roundsLeft == 0 || nowMillis < nextRoundMillis) return emptyList()
        roundsLeft--
        nextRoundMillis = nowMillis + ROUND_MILLIS
        return receivers(view)
    }

    /** Returns peers of the own domain and some of each other one, with those that answer no probes last. */
    fun receivers(view: FleetView): List<NodeRecord> {
        val byDomain = view.live().filter { it.node != self.node }.groupBy { it.failureDomain }
        return byDomain.flatMap { (domain, nodes) ->
            val count = if (domain == self.failureDomain) settings.pushFanOut - 1 else RECEIVERS_PER_DOMAIN
            nodes.inRandomOrder(random).sortedBy { it.status == NodeStatus.SUSPECT }.take(count)
        }
    }

    private companion object {
        /** The second round reaches nodes whose datagram was lost and, by another draw, those that were not told. */
        const val ROUNDS = 2

        /** Two rounds and a pull after the last one fit into the two seconds within which a version must be in force. */
        const val ROUND_MILLIS = 300L

        /** One of two may have died so recently that membership does not suspect it yet. */
        const val RECEIVERS_PER_DOMAIN = 2
    }
}
