package dev.baobabhollow.configuration

import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import dev.baobabhollow.model.ApiKeyDigest
import dev.baobabhollow.model.Change
import dev.baobabhollow.model.ConfigurationRecord
import dev.baobabhollow.model.ConfigurationState
import dev.baobabhollow.model.MeshChange
import dev.baobabhollow.model.MeshChangeRecord
import dev.baobabhollow.model.MeshConfig
import dev.baobabhollow.model.ModelJson
import dev.baobabhollow.model.Patch
import dev.baobabhollow.model.RouteConfig
import dev.baobabhollow.model.RouteId
import dev.baobabhollow.model.TenantConfig
import dev.baobabhollow.model.TenantId
import io.kotest.assertions.throwables.shouldThrow
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.longs.shouldBeLessThan
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import io.kotest.matchers.shouldNotBe
import io.kotest.matchers.string.shouldNotContain
import io.kotest.matchers.types.shouldBeInstanceOf
import io.kotest.matchers.types.shouldBeSameInstanceAs
import kotlinx.serialization.SerializationException
import kotlin.random.Random

private fun key(number: Int) = ApiKeyDigest.of("key-$number".toByteArray())

private fun tenant(vararg keys: Int) = TenantConfig(keys.map { key(it) }.toSet())

private fun meshOf(vararg tenants: Pair<String, TenantConfig>) =
    MeshConfig(tenants = tenants.associate { (name, tenant) -> TenantId(name) to tenant })

/** Returns tenants of which each of 60 keys belongs to at most one. */
private fun randomMesh(random: Random): MeshConfig {
    val owners = (0 until 60).groupBy { random.nextInt(8) } - 0
    val tenants =
        owners.entries.associate { (tenant, keys) ->
            TenantId("t$tenant") to
                TenantConfig(
                    keys.map { key(it) }.toSet(),
                    priority = random.nextInt(3).takeIf { it > 0 },
                    ratePerSecond = if (random.nextBoolean()) 1.5 else null,
                )
        }
    return if (random.nextInt(5) == 0) MeshConfig(isTenantListEmpty = true) else MeshConfig(tenants = tenants)
}

private fun Patch.appliedTo(mesh: MeshConfig) = applyPatch(ConfigurationState(mesh = mesh), this, "ana", 0)

class TenantChangeSpec :
    DescribeSpec({
        describe("a change between two configurations with tenants") {
            // Guards against nodes that hold other keys than the configuration in the log.
            it("turns one into the other") {
                repeat(200) { seed ->
                    val random = Random(seed)
                    val base = randomMesh(random)
                    val next = randomMesh(random)
                    MeshChange.between(base, next).applyTo(base) shouldBe next
                }
            }

            it("carries only the tenants that differ") {
                val base = meshOf("a" to tenant(1, 2), "b" to tenant(3), "c" to tenant())
                val next = meshOf("a" to tenant(1, 2), "b" to tenant(2, 3))
                val change = MeshChange.between(base, next)
                change.putTenants.keys shouldBe setOf(TenantId("b"))
                change.removedTenants shouldBe setOf(TenantId("c"))
            }

            // Guards against compiling 100,000 keys for a version that changes a route only.
            it("keeps the instances of tenants that stay the same") {
                val base = meshOf("a" to tenant(1), "b" to tenant(2))
                val route = mapOf(RouteId("r") to RouteConfig(vitrina, "/r/"))
                val decoded = meshOf("a" to tenant(1), "b" to tenant(2)).copy(routes = route)
                MeshChange.between(base, decoded).applyTo(base).tenants shouldBeSameInstanceAs base.tenants
                decoded.sharing(base).tenants shouldBeSameInstanceAs base.tenants
                val changed = meshOf("a" to tenant(1), "b" to tenant(3)).sharing(base)
                changed.tenants[TenantId("a")] shouldBeSameInstanceAs base.tenants[TenantId("a")]
                changed.tenants[TenantId("b")] shouldBe tenant(3)
            }

            it("leads a peer to the same state through a replica") {
                val routes = mapOf(RouteId("r") to RouteConfig(vitrina, "/r/"))
                val first = meshOf("a" to tenant(1), "b" to tenant(2)).copy(routes = routes)
                val second = meshOf("a" to tenant(), "b" to tenant(1, 2)).copy(routes = routes)
                val builder = LogBuilder().add(ConfigurationRecord(1, first))
                val (sender, peer) =
                    List(
                        2,
                    ) { ConfigurationReplica().apply { offer(RecordBatch(-1, builder.entries)) } }
                builder.add(ConfigurationRecord(2, second))
                sender.offer(RecordBatch(0, builder.entries.drop(1)))
                val batch = sender.deltaEncoded(sender.recordsAfter(0).shouldNotBeNull())
                batch.entries
                    .single()
                    .record.body
                    .shouldBeInstanceOf<MeshChangeRecord>()
                peer.offer(batch).shouldBeInstanceOf<OfferResult.Applied>()
                peer.state shouldBe sender.state
                peer.contentHash shouldBe sender.contentHash
            }
        }

        describe("hashes of successive tenants") {
            // Guards against nodes that hold equal states but compute different hashes.
            it("equal the hashes that are computed from scratch") {
                val hasher = ContentHasher()
                repeat(200) { seed ->
                    val state = ConfigurationState(offset = seed.toLong(), mesh = randomMesh(Random(seed)))
                    hasher.hash(state) shouldBe contentHash(state)
                }
            }

            // Guards against a replica that takes a state with other keys for its own.
            it("differ if a key, its tenant, a limit or the requirement of keys differs") {
                val meshes =
                    listOf(
                        meshOf("a" to tenant(1), "b" to tenant(2)),
                        meshOf("a" to tenant(2), "b" to tenant(1)),
                        meshOf("a" to tenant(1, 2), "b" to tenant()),
                        meshOf("a" to tenant(1), "b" to tenant(3)),
                        meshOf("a" to tenant(1), "b" to tenant(2).copy(burst = 1.0)),
                        meshOf("a" to tenant(1), "b" to tenant(2).copy(priority = 1)),
                        meshOf("a" to tenant(1)),
                        MeshConfig(isTenantListEmpty = true),
                        MeshConfig(),
                    )
                meshes.map { contentHash(ConfigurationState(mesh = it)) }.toSet().size shouldBe meshes.size
            }

            it("do not hash keys again that stay the same") {
                val keys = (0 until 10_000).map { key(it) }.toSet()
                val hasher = TenantHasher()
                hasher.hash(mapOf(TenantId("a") to TenantConfig(keys)))
                val before = hasher.hashCount
                hasher.hash(mapOf(TenantId("a") to TenantConfig(keys - key(7) + key(10_001))))
                hasher.hashCount - before shouldBeLessThan 5L
            }

            // Nodes of earlier releases must compute the same hash during an update of the fleet.
            it("are those of earlier releases if there are no tenants") {
                val state = ConfigurationState(offset = 3, mesh = MeshConfig(routes = mapOf(ROUTE)))
                contentHash(state) shouldBe "3325ce164cae10cff7724b38c4f81ffa"
            }
        }

        describe("a patch of tenants") {
            val base =
                basePatch
                    .appliedTo(MeshConfig())
                    .get()
                    .shouldNotBeNull()
                    .mesh

            fun put(
                name: String,
                config: TenantConfig,
            ) = Change.PutTenant(TenantId(name), config)

            it("adds, replaces and removes them") {
                val added = Patch(listOf(put("a", tenant(1)), put("b", tenant(2)))).appliedTo(base).get()?.mesh
                added.shouldNotBeNull().isKeyRequired shouldBe true
                val moved = Patch(listOf(put("a", tenant()), put("b", tenant(1, 2)))).appliedTo(added).get()?.mesh
                moved?.tenants shouldBe mapOf(TenantId("a") to tenant(), TenantId("b") to tenant(1, 2))
            }

            // Guards against a mesh that is open to everyone once the operator has removed the last tenant.
            it("leaves keys required when it removes the last one") {
                val removal = Patch(listOf(put("a", tenant(1)), Change.RemoveTenant(TenantId("a"))))
                val mesh =
                    removal
                        .appliedTo(base)
                        .get()
                        ?.mesh
                        .shouldNotBeNull()
                mesh.tenants shouldBe emptyMap()
                mesh.isKeyRequired shouldBe true
            }

            it("is rejected with the path of each error") {
                val patch =
                    Patch(
                        listOf(
                            put("", tenant()),
                            put("Ana", tenant()),
                            put("a", TenantConfig(setOf(key(1)), -1, 0.0, -2.0)),
                            put("b", TenantConfig(setOf(key(1)), burst = 3.0)),
                            put("c", TenantConfig(ratePerSecond = Double.NaN)),
                            Change.RemoveTenant(TenantId("none")),
                        ),
                    )
                val errors = patch.appliedTo(base).getError().shouldNotBeNull()
                errors.map { it.path } shouldBe
                    listOf(
                        "$.changes[5].tenant",
                        "$.tenants.",
                        "$.tenants.Ana",
                        "$.tenants.a.priority",
                        "$.tenants.a.ratePerSecond",
                        "$.tenants.a.burst",
                        "$.tenants.b.burst",
                        "$.tenants.c.ratePerSecond",
                        "$.tenants.b.keys",
                    )
            }

            // Guards against an error message that repeats a key which an operator has put in place of its digest.
            it("is unreadable with a key in place of its digest, and the error does not contain the key") {
                val text = """{"keys":["my-secret-key"]}"""
                val error = shouldThrow<SerializationException> { ModelJson.decodeFromString<TenantConfig>(text) }
                error.message.orEmpty() shouldNotContain "my-secret"
            }
        }

        describe("a digest of a key") {
            it("is SHA-256 in hexadecimal digits, and is read back") {
                val digest = ApiKeyDigest.of("abc".toByteArray())
                digest.toString() shouldBe "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad"
                ApiKeyDigest.parse(digest.toString()) shouldBe digest
                ApiKeyDigest.parse(digest.toString().dropLast(1)) shouldBe null
                ApiKeyDigest.parse("z".repeat(64)) shouldBe null
                ModelJson.decodeFromString<TenantConfig>(ModelJson.encodeToString(tenant(1, 2))) shouldBe tenant(1, 2)
                tenant(1) shouldNotBe tenant(2)
            }
        }
    })

private val ROUTE = RouteId("r") to RouteConfig(vitrina, "/r/")
