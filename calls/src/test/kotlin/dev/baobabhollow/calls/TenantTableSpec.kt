package dev.baobabhollow.calls

import dev.baobabhollow.model.ApiKeyDigest
import dev.baobabhollow.model.MeshConfig
import dev.baobabhollow.model.TenantConfig
import dev.baobabhollow.model.TenantId
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.longs.shouldBeLessThan
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeSameInstanceAs

private const val KEYS = 100_000
private const val KEYS_PER_TENANT = 1_000

/** Most bytes that a digest in the configuration and its entry in the table may take. */
private const val MAX_BYTES_PER_KEY = 160L

private fun digest(number: Int) = ApiKeyDigest.of("key-$number".toByteArray())

private fun mesh(keys: Int): MeshConfig {
    val tenants =
        (0 until keys).groupBy { it / KEYS_PER_TENANT }.entries.associate { (tenant, numbers) ->
            TenantId("t$tenant") to TenantConfig(numbers.map { digest(it) }.toSet())
        }
    return MeshConfig(tenants = tenants)
}

/** Guards against keys that belong to the wrong tenant or to none, and against too much memory for many keys. */
class TenantTableSpec :
    DescribeSpec({
        describe("a table of tenants") {
            it("finds the tenant of each of many keys, and none for others") {
                listOf(1, 2, 3, 255, 256, 257, 10_000).forEach { count ->
                    val table = TenantTable.of(mesh(count))
                    repeat(count) { table.tenantOf(digest(it)) shouldBe TenantId("t${it / KEYS_PER_TENANT}") }
                    repeat(1_000) { table.tenantOf(digest(count + it)) shouldBe null }
                }
            }

            it("knows no key if there are no tenants") {
                TenantTable.EMPTY.tenantOf(digest(1)) shouldBe null
                TenantTable.EMPTY.isKeyRequired shouldBe false
                val closed = TenantTable.of(MeshConfig(isTenantListEmpty = true))
                closed.tenantOf(digest(1)) shouldBe null
                closed.isKeyRequired shouldBe true
            }

            // Guards against compiling all keys for each change of a target or a route.
            it("is compiled again only if the tenants differ") {
                val mesh = mesh(10)
                val state = state().copy(mesh = mesh)
                val first = RoutingTable.compile(state, view(listOf(node("n"))), emptySet())
                val routeChanged = state.copy(mesh = mesh.copy(routes = state().mesh.routes))
                val second = RoutingTable.compile(routeChanged, view(listOf(node("n"))), emptySet(), first)
                second.tenants shouldBeSameInstanceAs first.tenants
                val keysChanged = state.copy(mesh = mesh(9))
                val third = RoutingTable.compile(keysChanged, view(listOf(node("n"))), emptySet(), second)
                third.tenants.tenantOf(digest(9)) shouldBe null
            }

            it("takes little memory for each of 100,000 keys") {
                val before = usedHeap()
                val mesh = mesh(KEYS)
                val table = TenantTable.of(mesh)
                val after = usedHeap()
                table.tenantOf(digest(7)) shouldBe TenantId("t0")
                (after - before) / KEYS shouldBeLessThan MAX_BYTES_PER_KEY
            }
        }
    })
