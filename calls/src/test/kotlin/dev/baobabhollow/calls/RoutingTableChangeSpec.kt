package dev.baobabhollow.calls

import dev.baobabhollow.model.ConfigurationState
import dev.baobabhollow.model.MemberId
import dev.baobabhollow.model.MeshConfig
import dev.baobabhollow.model.RouteConfig
import dev.baobabhollow.model.RouteId
import dev.baobabhollow.model.ServiceConfig
import dev.baobabhollow.model.ServiceId
import dev.baobabhollow.model.SplitPart
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import kotlin.random.Random

private const val ROUTES = 8
private val HOSTS = listOf(null, "a.example", "b.example")
private val SERVICES = listOf(VITRINA, ServiceId("pedidos"), ServiceId("taller"))

private fun randomRoute(random: Random) =
    RouteConfig(
        service = SERVICES.random(random),
        pathPrefix = "/" + "x/".repeat(random.nextInt(1, 4)),
        host = HOSTS.random(random),
        timeoutMillis = random.nextLong(1, 3),
        split = if (random.nextBoolean()) emptyList() else listOf(SplitPart(SERVICES.random(random), 1)),
    )

/** Returns the configuration after [mesh] with one or two random changes. */
private fun changed(
    mesh: MeshConfig,
    random: Random,
): MeshConfig {
    val routes = LinkedHashMap(mesh.routes)
    repeat(random.nextInt(1, 3)) {
        val id = RouteId("r${random.nextInt(ROUTES)}")
        if (random.nextInt(3) == 0) routes.remove(id) else routes[id] = randomRoute(random)
    }
    val present = SERVICES.filter { random.nextInt(8) > 0 }
    return mesh.copy(
        services = present.associateWith { ServiceConfig(MemberId("m"), setOf(OLD), OLD) },
        routes = routes,
    )
}

class RoutingTableChangeSpec :
    DescribeSpec({
        describe("a table that is compiled from the previous one") {
            val paths = listOf("/x/", "/x/x/", "/x/x/x/y", "/z")

            // Guards against prefix matchers that are reused although a route has to be matched in another way.
            it("routes like one that is compiled from scratch") {
                repeat(200) { seed ->
                    val random = Random(seed)
                    var mesh = MeshConfig.EMPTY
                    var table = RoutingTable.EMPTY
                    repeat(20) { version ->
                        mesh = changed(mesh, random)
                        val state = ConfigurationState(offset = version.toLong(), version = version + 1L, mesh = mesh)
                        table = RoutingTable.compile(state, view(listOf(node("n"))), emptySet(), table)
                        val fresh = RoutingTable.compile(state, view(listOf(node("n"))), emptySet())
                        for (host in HOSTS) {
                            for (path in paths) {
                                val found = table.match(path, host)
                                found?.config shouldBe fresh.match(path, host)?.config
                            }
                        }
                    }
                }
            }
        }
    })
