package dev.baobabhollow.peers

import dev.baobabhollow.membership.FleetView
import dev.baobabhollow.model.Endpoint
import dev.baobabhollow.model.FailureDomainId
import dev.baobabhollow.model.NodeId
import dev.baobabhollow.model.NodeRecord
import dev.baobabhollow.model.NodeStatus
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldContainExactlyInAnyOrder
import io.kotest.matchers.ints.shouldBeLessThan
import io.kotest.matchers.shouldBe
import java.util.SplittableRandom

private val SETTINGS = ControlPlaneSettings(pushFanOut = 8, announcesRecords = true)

private fun node(
    name: String,
    status: NodeStatus = NodeStatus.ALIVE,
): NodeRecord {
    val endpoint = Endpoint("10.0.0.${name.hashCode().mod(250)}", 1 + name.hashCode().mod(60_000))
    return NodeRecord(
        NodeId(name),
        FailureDomainId(name.substringBefore('-')),
        1,
        status,
        endpoint,
        endpoint,
        endpoint,
        null,
    )
}

private fun view(
    self: NodeRecord,
    nodes: List<NodeRecord>,
) = FleetView(self.node, (nodes + self).associateBy { it.node }, 1)

private fun position(offset: Long) = Position(offset, offset, "hash")

class AnnouncementsSpec :
    DescribeSpec({
        val self = node("b-1")

        fun announcements(seed: Long = 1) = Announcements(self, SETTINGS, SplittableRandom(seed))

        describe("announcements of a node") {
            val others = listOf("a-1", "a-2", "a-3", "b-2", "b-3", "c-1", "c-2", "d-1").map(::node)

            // Guards against a domain that receives no announcement while its log readers are dead or cut off.
            it("go to all nodes of its domain and to two nodes of each other domain") {
                val recipients = announcements().receivers(view(self, others)).groupBy { it.failureDomain.value }
                recipients.mapValues { it.value.size } shouldBe mapOf("a" to 2, "b" to 2, "c" to 2, "d" to 1)
            }

            it("go to suspected nodes last") {
                val nodes =
                    listOf(node("a-1", NodeStatus.SUSPECT), node("a-2"), node("a-3"), node("a-4", NodeStatus.SUSPECT))
                repeat(20) {
                    announcements(
                        it.toLong(),
                    ).receivers(view(self, nodes)).map { it.node.value } shouldContainExactlyInAnyOrder
                        listOf("a-2", "a-3")
                }
            }

            // Guards against a survivor that stays behind because other nodes still announce to its dead neighbours.
            it("reach the only live node of a domain if six nodes announce") {
                val domain = listOf("a-1", "a-2", "a-3", "a-4").map(::node)
                val senders = listOf("b-1", "b-2", "c-1", "c-2", "d-1", "d-2").map(::node)
                val missed =
                    (0 until 10_000).count { trial ->
                        senders.withIndex().none { (i, sender) ->
                            val random = SplittableRandom(trial * 31L + i)
                            val announcements = Announcements(sender, SETTINGS, random)
                            val view = view(sender, domain + (senders - sender))
                            val recipients =
                                announcements.due(position(1), view, 0) + announcements.due(position(1), view, 400)
                            recipients.any { it.node.value == "a-4" }
                        }
                    }
                missed shouldBeLessThan 10
            }
        }

        describe("a new position") {
            val others = listOf(node("a-1"))

            it("is announced twice, and a newer one at once") {
                val announcements = announcements()

                fun recipients(
                    offset: Long,
                    nowMillis: Long,
                ) = announcements.due(position(offset), view(self, others), nowMillis).size
                recipients(1, 1_000) shouldBe 1
                recipients(1, 1_100) shouldBe 0
                recipients(1, 1_400) shouldBe 1
                recipients(1, 2_000) shouldBe 0
                recipients(2, 2_001) shouldBe 1
                recipients(3, 2_002) shouldBe 1
            }

            it("is not announced before it is confirmed") {
                val unconfirmed = position(1).copy(isConfirmed = false)
                announcements().due(unconfirmed, view(self, others), 0) shouldBe emptyList()
            }
        }
    })
