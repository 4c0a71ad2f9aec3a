package dev.baobabhollow.peers

import dev.baobabhollow.membership.FleetView
import dev.baobabhollow.model.Endpoint
import dev.baobabhollow.model.NodeRecord
import java.util.random.RandomGenerator

/**
 * Returns the peers of [self] that receive a push: random ones, preferably of the own domain. A log reader includes one
 * node of another domain.
 */
internal fun FleetView.pushReceivers(
    self: NodeRecord,
    fanOut: Int,
    random: RandomGenerator,
    isLogReader: Boolean,
): List<NodeRecord> {
    val (ownDomain, otherDomains) =
        live().filter { it.node != self.node }.partition { it.failureDomain == self.failureDomain }
    val otherCount = if (isLogReader) minOf(1, otherDomains.size) else 0
    val shuffled = otherDomains.inRandomOrder(random)
    val receivers = shuffled.take(otherCount) + ownDomain.inRandomOrder(random).take(fanOut - otherCount)
    val rest = if (ownDomain.isEmpty()) shuffled.drop(otherCount) else emptyList()
    return (receivers + rest).take(fanOut)
}

/** Returns the control endpoint of a random peer of [self], live or one of [seeds], or null if there is none. */
internal fun FleetView.randomPeer(
    self: NodeRecord,
    seeds: List<Endpoint>,
    random: RandomGenerator,
): Endpoint? {
    val known = live().filter { it.node != self.node }.map { it.controlEndpoint }
    val candidates = (known + seeds).filter { it != self.controlEndpoint }.distinct()
    if (candidates.isEmpty()) return null
    return candidates[random.nextInt(candidates.size)]
}
