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

/** Tells whether the node that ranks [rank] reads the log while the nodes of the ranks in [suspects] answer no probes. */
private fun reads(
    rank: Int,
    suspects: Set<Int>,
): Boolean {
    val self = record(RANKED[rank], NodeStatus.ALIVE)
    val nodes =
        RANKED.withIndex().associate { (i, node) ->
            node to record(node, if (i in suspects) NodeStatus.SUSPECT else NodeStatus.ALIVE)
        }
    var order: ReaderOrder? = null
    val duty = LogDuty(self, ControlPlaneSettings(), { 0 }, { order = it }, { true })
    val position = Position(4, 4, "hash")
    duty.tick(FleetView(self.node, nodes, 1), position, ConfigurationState.INITIAL, 0, 10_000, 0)
    return checkNotNull(order).isActive
}

class LogDutySpec :
    DescribeSpec({
        describe("the nodes of a domain that hear one another") {
            it("read the log if they rank first or second") {
                RANKED.indices.map { reads(it, emptySet()) } shouldBe listOf(true, true, false, false)
            }

            // Guards against survivors that wait for the end of a suspicion, four seconds, while a version is published.
            it("take the place of readers that answer no probes") {
                reads(2, setOf(0)) shouldBe true
                reads(2, setOf(0, 1)) shouldBe true
                reads(3, setOf(0, 1)) shouldBe true
                reads(3, setOf(0)) shouldBe false
            }
        }
    })
