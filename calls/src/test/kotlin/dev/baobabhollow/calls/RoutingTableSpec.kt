package dev.baobabhollow.calls

import dev.baobabhollow.model.ConfigurationState
import dev.baobabhollow.model.MovePhase
import dev.baobabhollow.model.NO_OFFSET
import dev.baobabhollow.model.NodeRecord
import dev.baobabhollow.model.NodeStatus
import dev.baobabhollow.model.ServiceId
import dev.baobabhollow.model.TargetStatus
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldContainExactlyInAnyOrder
import io.kotest.matchers.shouldBe
import kotlin.random.Random

class RoutingTableSpec :
    DescribeSpec({
        fun compile(
            state: ConfigurationState,
            nodes: List<NodeRecord> = listOf(node("n1"), node("n2", release = NEW)),
            isHeld: Boolean = false,
        ) = RoutingTable.compile(state, view(nodes), if (isHeld) setOf(MOVE) else emptySet())

        fun RoutingTable.newShare() = (0..999).count { services.getValue(VITRINA).release(it).release == NEW }

        describe("a routing table") {
            // Guards against a route that leads to a service or target outside the table.
            it("leaves out routes to services that do not exist") {
                val table = compile(state(routes = mapOf("/a" to VITRINA, "/b" to ServiceId("absent"))))
                table.match("/a/1")?.service?.id shouldBe VITRINA
                table.match("/b/1") shouldBe null
            }

            // Guards against nodes that refuse all calls since the log returned from a copy without records.
            it("is ready with the configuration that a node keeps from an earlier era of the log") {
                compile(ConfigurationState.INITIAL).isReady shouldBe false
                compile(state().copy(version = 3, offset = NO_OFFSET, era = 1)).isReady shouldBe true
            }

            it("holds only targets that accept new calls") {
                val nodes =
                    listOf(
                        node("alive"),
                        node("suspect", status = NodeStatus.SUSPECT),
                        node("leaving", status = NodeStatus.LEAVING),
                        node("dead", status = NodeStatus.DEAD),
                        node("draining", targetStatus = TargetStatus.DRAINING),
                        node("down", targetStatus = TargetStatus.DOWN),
                        node("foreign", service = ServiceId("absent")),
                    )
                compile(state(), nodes).nodes.map { it.value } shouldContainExactlyInAnyOrder listOf("alive", "suspect")
            }

            // Guards against a node without any configuration that responds to calls with 404.
            it("is not ready before it holds a configuration") {
                compile(ConfigurationState.INITIAL).isReady shouldBe false
                compile(state()).isReady shouldBe true
            }

            it("chooses the longest prefix for any set of prefixes") {
                val random = Random(3)

                fun path(length: Int) = "/" + (1..length).map { "ab/"[random.nextInt(3)] }.joinToString("")
                repeat(200) {
                    val prefixes = (0..random.nextInt(20)).map { path(random.nextInt(6)) }.distinct()
                    val table = compile(state(routes = prefixes.associateWith { VITRINA }))
                    repeat(20) {
                        val path = path(random.nextInt(9))
                        val expected = prefixes.filter { path.startsWith(it) }.maxByOrNull { it.length }
                        table.match(path)?.config?.pathPrefix shouldBe expected
                    }
                }
            }

            it("gives the new release exactly the share of its running move") {
                compile(state(sharePermille = null)).newShare() shouldBe 0
                compile(state(sharePermille = 37)).newShare() shouldBe 37
                compile(state(sharePermille = 1_000, MovePhase.WATCHING)).newShare() shouldBe 1_000
                compile(state(sharePermille = 400, MovePhase.TAKEN_BACK)).newShare() shouldBe 0
            }

            // Guards against calls to a bad release until the log has the record that takes its move back.
            it("gives the new release of a held move no calls") {
                compile(state(sharePermille = 400), isHeld = true).newShare() shouldBe 0
            }

            it("keeps the calls at the current release while the new one has no targets") {
                compile(state(sharePermille = 400), listOf(node("n1"))).newShare() shouldBe 0
            }
        }
    })
