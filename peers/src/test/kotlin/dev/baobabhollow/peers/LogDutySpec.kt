package dev.baobabhollow.peers

import dev.baobabhollow.membership.FleetView
import dev.baobabhollow.membership.rankNodes
import dev.baobabhollow.model.ConfigurationState
import dev.baobabhollow.model.Endpoint
import dev.baobabhollow.model.FailureDomainId
import dev.baobabhollow.model.NodeId
import dev.baobabhollow.model.NodeRecord
import dev.baobabhollow.model.NodeStatus
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe

private val NODES = listOf("a-1", "a-2", "a-3", "a-4").map(::NodeId)
private val RANKED = rankNodes("log-readers", NODES)

private fun record(
    node: NodeId,
    status: NodeStatus,
): NodeRecord {
    val endpoint = Endpoint("10.0.0.1", 7_000)
    return NodeRecord(node, FailureDomainId("a"), 1, status, endpoint, endpoint, endpoint, null)
}

private val SETTINGS = ControlPlaneSettings()

/** Returns the long-poll timeout of the node of [rank] while the nodes of the ranks in [suspects] are suspected. */
private fun pollMillis(
    rank: Int,
    suspects: Set<Int>,
): Long? {
    val self = record(RANKED[rank], NodeStatus.ALIVE)
    val nodes =
        RANKED.withIndex().associate { (i, node) ->
            node to record(node, if (i in suspects) NodeStatus.SUSPECT else NodeStatus.ALIVE)
        }
    var instruction: ReadInstruction? = null
    val duty = LogDuty(self, SETTINGS, { 0 }, { instruction = it }, { true })
    val position = Position(4, 4, "hash")
    duty.tick(FleetView(self.node, nodes, 1), position, ConfigurationState.INITIAL, 0, 10_000, 0)
    return checkNotNull(instruction).pollMillis
}

private fun reads(
    rank: Int,
    suspects: Set<Int>,
) = pollMillis(rank, suspects) != null

class LogDutySpec :
    DescribeSpec({
        describe("the nodes of a domain that are connected to one another") {
            it("read the log if they rank first or second") {
                RANKED.indices.map { reads(it, emptySet()) } shouldBe listOf(true, true, false, false)
            }

            // Guards against a domain whose readers both wait for a response that the log has lost.
            it("use a short long-poll timeout in the first reader") {
                pollMillis(0, emptySet()) shouldBe SETTINGS.shortPollMillis
                pollMillis(1, emptySet()) shouldBe SETTINGS.longPollMillis
                pollMillis(1, setOf(0)) shouldBe SETTINGS.shortPollMillis
            }

            // Guards against survivors that wait until a suspicion ends, four seconds, while a version is published.
            it("replace suspected readers") {
                reads(2, setOf(0)) shouldBe true
                reads(2, setOf(0, 1)) shouldBe true
                reads(3, setOf(0, 1)) shouldBe true
                reads(3, setOf(0)) shouldBe false
            }
        }
    })
