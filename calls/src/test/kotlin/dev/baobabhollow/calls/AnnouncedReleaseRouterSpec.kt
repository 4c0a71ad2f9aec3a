package dev.baobabhollow.calls

import dev.baobabhollow.model.ANNOUNCED_RELEASE
import dev.baobabhollow.model.ConfigurationState
import dev.baobabhollow.model.MemberId
import dev.baobabhollow.model.MeshConfig
import dev.baobabhollow.model.MoveOrder
import dev.baobabhollow.model.MovePhase
import dev.baobabhollow.model.MovePlan
import dev.baobabhollow.model.MoveState
import dev.baobabhollow.model.NodeRecord
import dev.baobabhollow.model.OTHER_RELEASES
import dev.baobabhollow.model.RouteConfig
import dev.baobabhollow.model.RouteId
import dev.baobabhollow.model.ServiceConfig
import dev.baobabhollow.model.ServiceId
import dev.baobabhollow.model.SplitPart
import dev.baobabhollow.model.UNKNOWN_RELEASE
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldNotContain
import io.kotest.matchers.ints.shouldBeInRange
import io.kotest.matchers.shouldBe

private val PEDIDOS = ServiceId("pedidos")

class AnnouncedReleaseRouterSpec :
    DescribeSpec({
        fun compile(
            nodes: List<NodeRecord>,
            move: MoveState? = null,
            isHeld: Boolean = false,
            routes: Map<RouteId, RouteConfig> = emptyMap(),
        ): RoutingTable {
            val service = ServiceConfig(MemberId("m"), emptySet(), ANNOUNCED_RELEASE)
            val state =
                ConfigurationState(
                    offset = 5,
                    version = 3,
                    mesh = MeshConfig(services = mapOf(VITRINA to service, PEDIDOS to service), routes = routes),
                    moves = move?.let { mapOf(MOVE to it) }.orEmpty(),
                    orders = move?.let { mapOf(VITRINA to MoveOrder(MOVE, NEW, 10)) }.orEmpty(),
                )
            return RoutingTable.compile(state, view(nodes), if (isHeld) setOf(MOVE) else emptySet())
        }

        fun move(
            phase: MovePhase,
            share: Int,
        ) = MoveState(MovePlan(VITRINA, OTHER_RELEASES, NEW, 0, 10, 10), "o", phase = phase, sharePermille = share)

        fun RoutingTable.newShare() = (0..999).count { services.getValue(VITRINA).release(it).release == NEW }

        val nodes = listOf(node("n1"), node("n2"), node("n3", release = NEW))

        describe("a service whose targets announce their releases") {
            // Guards against calls to a new release before the order to move to it is known.
            it("routes to the release that most targets announce while no move is ordered") {
                compile(nodes).newShare() shouldBe 0
                compile(nodes + node("n4", release = NEW)).newShare() shouldBe 0
            }

            // Guards against calls to a target that may have the release under trial.
            it("uses a target of unknown release only while no move is ordered") {
                val found = nodes + node("n4", release = UNKNOWN_RELEASE)

                fun RoutingTable.used() =
                    services
                        .getValue(VITRINA)
                        .targets
                        .map { it.node.value }
                        .toSet()
                compile(found).used() shouldBe setOf("n1", "n2", "n4")
                compile(listOf(node("n4", release = UNKNOWN_RELEASE))).used() shouldBe setOf("n4")
                MovePhase.entries.forEach { compile(found, move(it, 70)).used() shouldNotContain "n4" }
            }

            it("follows the share of an ordered move, unless it is held") {
                compile(nodes, move(MovePhase.RAMPING, 70)).newShare() shouldBe 70
                compile(nodes, move(MovePhase.RAMPING, 70), isHeld = true).newShare() shouldBe 0
            }

            // Guards against calls to old targets, which end without draining once a move is done.
            it("uses only the new release once the move is done, and only the others once it is taken back") {
                val done = compile(nodes, move(MovePhase.DONE, 1_000)).services.getValue(VITRINA)
                done.targets.map { it.node.value } shouldBe listOf("n3")
                val back = compile(nodes, move(MovePhase.TAKEN_BACK, 0)).services.getValue(VITRINA)
                back.targets.map { it.node.value }.toSet() shouldBe setOf("n1", "n2")
                compile(listOf(node("n3", release = NEW)), move(MovePhase.TAKEN_BACK, 0))
                    .services
                    .getValue(VITRINA)
                    .targets shouldBe emptyList()
            }
        }

        describe("a route of one host") {
            it("is not used for another host, and the longest prefix of the host wins") {
                val routes =
                    mapOf(
                        RouteId("short") to RouteConfig(VITRINA, "/a/", host = "h.example"),
                        RouteId("long") to RouteConfig(VITRINA, "/a/b/", host = "h.example"),
                        RouteId("other") to RouteConfig(VITRINA, "/a/b/", host = "o.example"),
                    )
                val table = compile(nodes, routes = routes)
                table.match("/a/b/c", "H.example")?.id shouldBe RouteId("long")
                table.match("/a/c", "h.example")?.id shouldBe RouteId("short")
                table.match("/a/b/c", "o.example")?.id shouldBe RouteId("other")
                table.match("/a/c", "o.example") shouldBe null
                table.match("/a/b/c") shouldBe null
            }
        }

        describe("a route to several services") {
            // Guards against weights that are not kept, also when one of the services has no targets.
            it("gives each service its share of the calls") {
                val split = listOf(SplitPart(VITRINA, 90), SplitPart(PEDIDOS, 10))
                val routes = mapOf(RouteId("r") to RouteConfig(VITRINA, "/", split = split))
                val route = compile(nodes, routes = routes).match("/x")!!
                val drawn = (0 until 1_000).map { route.forCall(it / 1_000.0).service.id }
                drawn.count { it == PEDIDOS } shouldBeInRange 99..101
                route.to(PEDIDOS)?.service?.id shouldBe PEDIDOS
                route.to(ServiceId("else")) shouldBe null
            }

            // Guards against a sum of weights that overflows, so that the first service gets all calls.
            it("gives each service its share also if the weights are large") {
                val split = listOf(SplitPart(VITRINA, Int.MAX_VALUE), SplitPart(PEDIDOS, Int.MAX_VALUE))
                val routes = mapOf(RouteId("r") to RouteConfig(VITRINA, "/", split = split))
                val route = compile(nodes, routes = routes).match("/x")!!
                (0 until 1_000).count { route.forCall(it / 1_000.0).service.id == PEDIDOS } shouldBeInRange 499..501
            }

            it("is left out when one of its services does not exist") {
                val split = listOf(SplitPart(VITRINA, 90), SplitPart(ServiceId("absent"), 10))
                val routes = mapOf(RouteId("r") to RouteConfig(VITRINA, "/", split = split))
                compile(nodes, routes = routes).match("/x") shouldBe null
            }
        }
    })
