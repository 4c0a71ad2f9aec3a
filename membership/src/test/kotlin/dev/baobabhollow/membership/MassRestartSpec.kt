package dev.baobabhollow.membership

import dev.baobabhollow.model.NodeStatus
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.longs.shouldBeLessThan
import java.util.SplittableRandom

/** All nodes lose power and return: each finds its target within a second, and the others by a directory. */
private class MassRestart(
    seed: Long,
    domains: Int,
    nodesOfDomain: Int,
) {
    private val random = SplittableRandom(seed)

    /** The period of urgent updates is that of the consortium's platform. */
    val fleet = VirtualFleet(seed, MembershipSettings(urgentPeriodMillis = 100))
    private val names = (0 until domains).flatMap { domain -> (0 until nodesOfDomain).map { "${'a' + domain}-$it" } }
    private val targetAtMillis = names.associateWith { VirtualFleet.START_MILLIS + random.nextLong(TARGET_MILLIS) }
    private val joinAtMillis =
        names.associateWith {
            VirtualFleet.START_MILLIS + JOIN_MILLIS +
                random.nextLong(JITTER_MILLIS)
        }
    private val withTarget = HashSet<String>()
    private val joined = HashSet<String>()

    init {
        names.forEach { fleet.add(it, hasTarget = false) }
    }

    /** Returns the time until [share] of all pairs of nodes know each other's targets. */
    fun millisUntilKnown(share: Double): Long =
        fleet.runUntil(LIMIT_MILLIS) {
            names.forEach(::advance)
            knownTargets() >= share * names.size * names.size
        }

    private fun advance(name: String) {
        val node = fleet[name]
        if (fleet.nowMillis >= joinAtMillis.getValue(name) && joined.add(name)) {
            fleet.join(node, List(CONTACTS) { fleet[names[random.nextInt(names.size)]] })
        }
        if (fleet.nowMillis < targetAtMillis.getValue(name) || !withTarget.add(name)) return
        node.membership.announce { it.copy(target = VirtualFleet.recordOf(name, 1).target) }
    }

    private fun knownTargets(): Int =
        fleet.nodes.values.sumOf { node ->
            node.membership.view.nodes.values
                .count { it.status == NodeStatus.ALIVE && it.target != null }
        }

    private companion object {
        const val TARGET_MILLIS = 1_000L
        const val JOIN_MILLIS = 300L
        const val JITTER_MILLIS = 300L
        const val CONTACTS = 16
        const val LIMIT_MILLIS = 60_000L
    }
}

class MassRestartSpec :
    DescribeSpec({
        describe("a fleet whose nodes all restart at the same time") {
            // Guards against calls that all go to the few targets that are known in the seconds after a power loss.
            listOf(4 to 3, 4 to 19, 6 to 16).forEach { (domains, nodes) ->
                it("of $domains domains of $nodes nodes knows nine of ten targets a second after they were found") {
                    for (seed in 1L..3L) {
                        val restart = MassRestart(seed, domains, nodes)
                        restart.millisUntilKnown(0.9) shouldBeLessThan 2_000
                    }
                }

                // Guards against a burst that takes a weak VM's link of 7 Mbit/s from calls: a tenth of it for 2 s.
                it("of $domains domains of $nodes nodes sends at most 175 KB a node until then") {
                    val restart = MassRestart(4, domains, nodes)
                    restart.millisUntilKnown(0.9)
                    restart.fleet.sentUpdateBytes / (domains * nodes) shouldBeLessThan 175_000L
                }
            }
        }
    })
