package dev.baobabhollow.peers

import dev.baobabhollow.membership.FleetView
import dev.baobabhollow.model.LogPosition
import dev.baobabhollow.model.NO_OFFSET
import dev.baobabhollow.model.NodeRecord
import dev.baobabhollow.model.NodeStatus
import java.util.random.RandomGenerator

/**
 * Schedules the announcements of new positions and selects the peers that receive them. All times are monotonic
 * milliseconds. Confined to the control thread.
 *
 * A node that doesn't read the log depends on announcements. The log readers of its domain may have just died or may be
 * unable to reach the log, so each node that has a new position announces it to some nodes of every domain.
 */
internal class Announcements(
    private val self: NodeRecord,
    private val settings: ControlPlaneSettings,
    private val random: RandomGenerator,
) {
    private var announced = LogPosition(0, NO_OFFSET)
    private var roundsLeft = 0
    private var nextRoundMillis = 0L

    /** Returns the peers to which [position] is to be announced now. */
    fun due(
        position: Position,
        view: FleetView,
        nowMillis: Long,
    ): List<NodeRecord> {
        if (!settings.announcesRecords || !position.isConfirmed) return emptyList()
        if (position.logPosition > announced) {
            announced = position.logPosition
            roundsLeft = ROUNDS
            nextRoundMillis = nowMillis
        }
        if (roundsLeft == 0 || nowMillis < nextRoundMillis) return emptyList()
        roundsLeft--
        nextRoundMillis = nowMillis + ROUND_MILLIS
        return receivers(view)
    }

    /** Returns several peers of the own failure domain and a few of each other one. Suspected nodes come last. */
    fun receivers(view: FleetView): List<NodeRecord> {
        val byDomain = view.live().filter { it.node != self.node }.groupBy { it.failureDomain }
        return byDomain.flatMap { (domain, nodes) ->
            val count = if (domain == self.failureDomain) settings.pushFanOut - 1 else RECEIVERS_PER_DOMAIN
            nodes.inRandomOrder(random).sortedBy { it.status == NodeStatus.SUSPECT }.take(count)
        }
    }

    private companion object {
        /** The second round covers lost datagrams and, as receivers are drawn again, nodes not selected before. */
        const val ROUNDS = 2

        /** Two rounds and a pull after the second fit into the two seconds within which a version must be in force. */
        const val ROUND_MILLIS = 300L

        /** Two, because one may have died so recently that the membership doesn't suspect it yet. */
        const val RECEIVERS_PER_DOMAIN = 2
    }
}
