package dev.baobabhollow.calls

import dev.baobabhollow.membership.FleetView
import dev.baobabhollow.model.ConfigurationState
import dev.baobabhollow.model.MemberConfig
import dev.baobabhollow.model.MemberId
import dev.baobabhollow.model.MeshConfig
import dev.baobabhollow.model.NodeId
import dev.baobabhollow.model.ReleaseId
import dev.baobabhollow.model.RouteConfig
import dev.baobabhollow.model.RouteId
import dev.baobabhollow.model.ServiceConfig
import dev.baobabhollow.model.ServiceId
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe

private val SERVICE = ServiceId("sheets")

private fun tableOf(vararg prefixes: String): RoutingTable {
    val release = ReleaseId("1")
    val mesh =
        MeshConfig(
            mapOf(MemberId("m") to MemberConfig("Member")),
            mapOf(SERVICE to ServiceConfig(MemberId("m"), setOf(release), release)),
            prefixes.associate { RouteId(it) to RouteConfig(SERVICE, it) },
        )
    val state = ConfigurationState(offset = 1, version = 1, mesh = mesh)
    return RoutingTable.compile(state, FleetView(NodeId("n"), emptyMap(), 1), emptySet())
}

private fun RoutingTable.prefixOf(path: String) = match(normalizedPath(path))?.id?.value

class EscapedPathSpec :
    DescribeSpec({
        // Guards against a request that is run by the service of a prefix that does not begin its path (review/7).
        it("does not take an escaped slash for the end of a segment") {
            val table = tableOf("/sheets/", "/sheets/draft/")
            listOf("/sheets/draft%2Ftuna0", "/sheets/draft%2ftuna0", "/sheets/%2Fdraft/x")
                .forEach { table.prefixOf(it) shouldBe "/sheets/" }
            table.prefixOf("/sheets/draft/a%2Fb") shouldBe "/sheets/draft/"
            table.prefixOf("/sheets%2Fdraft/tuna0") shouldBe null
            table.prefixOf("%2Fsheets/x") shouldBe null
        }

        // Guards against routes that can't be reached, or only by one of the ways in which a path can be written.
        it("compares paths and prefixes in the same form") {
            val table = tableOf("/caf%c3%a9/", "/a~b/", "/50%25/")
            table.prefixOf("/caf%C3%A9/x") shouldBe "/caf%c3%a9/"
            table.prefixOf("/%63af%c3%A9/x") shouldBe "/caf%c3%a9/"
            table.prefixOf("/a%7Eb/") shouldBe "/a~b/"
            table.prefixOf("/50%25/x") shouldBe "/50%25/"
            table.prefixOf("/50%2525/x") shouldBe null
        }

        it("keeps percent signs that begin no escape") {
            listOf("/a%", "/a%2", "/a%zz/b", "/a%-1").forEach { normalizedPath(it) shouldBe it }
        }
    })
