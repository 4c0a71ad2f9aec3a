package dev.baobabhollow.configuration

import dev.baobabhollow.model.CallerLimits
import dev.baobabhollow.model.ConfigurationRecord
import dev.baobabhollow.model.ConfigurationState
import dev.baobabhollow.model.LogEntry
import dev.baobabhollow.model.MeshChange
import dev.baobabhollow.model.MeshChangeRecord
import dev.baobabhollow.model.MeshConfig
import dev.baobabhollow.model.RouteConfig
import dev.baobabhollow.model.RouteId
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.shouldNotBe
import io.kotest.matchers.types.shouldBeInstanceOf
import io.kotest.matchers.types.shouldBeSameInstanceAs
import kotlin.random.Random

private const val ROUTES = 40

private fun randomMesh(random: Random) =
    MeshConfig(
        routes =
            (0 until ROUTES).filter { random.nextInt(4) > 0 }.associate {
                RouteId("r$it") to RouteConfig(vitrina, "/r$it/", timeoutMillis = random.nextLong(3))
            },
        callerLimits = if (random.nextBoolean()) CallerLimits(1, 2, 3, random.nextLong(2)) else null,
    )

/** Returns a copy with another timeout for one route. Like a newly decoded version, it shares no route instances. */
private fun MeshConfig.withOneChange(number: Int): MeshConfig {
    val changed = routes.keys.elementAt(number % routes.size)
    return copy(
        routes =
            routes.mapValues { (id, it) ->
                if (id ==
                    changed
                ) {
                    it.copy(timeoutMillis = 99L + number)
                } else {
                    it.copy()
                }
            },
    )
}

class MeshChangeSpec :
    DescribeSpec({
        describe("a change between two configurations") {
            // Guards against nodes whose configuration differs from the one in the log.
            it("turns one into the other") {
                repeat(200) { seed ->
                    val random = Random(seed)
                    val base = randomMesh(random)
                    val next = randomMesh(random)
                    MeshChange.between(base, next).applyTo(base) shouldBe next
                }
            }
        }

        describe("hashes of successive states") {
            // Guards against nodes that hold equal states but compute different hashes.
            it("equal the hashes that are computed from scratch") {
                val hasher = ContentHasher()
                repeat(200) { seed ->
                    val state = ConfigurationState(offset = seed.toLong(), mesh = randomMesh(Random(seed)))
                    hasher.hash(state) shouldBe contentHash(state)
                }
            }

            it("differ if the states differ in one route") {
                val mesh = randomMesh(Random(1))
                contentHash(ConfigurationState(mesh = mesh)) shouldNotBe
                    contentHash(ConfigurationState(mesh = mesh.withOneChange(3)))
            }

            // Guards against hashes that depend on the order in which a node learned of routes.
            it("do not depend on the order of routes") {
                val mesh = randomMesh(Random(2))
                val reversed =
                    mesh.copy(
                        routes =
                            mesh.routes.entries
                                .reversed()
                                .associate { it.toPair() },
                    )
                contentHash(ConfigurationState(mesh = reversed)) shouldBe contentHash(ConfigurationState(mesh = mesh))
            }
        }

        describe("a replica that serves a peer") {
            val first = randomMesh(Random(3))
            val builder = LogBuilder().add(ConfigurationRecord(1, first))

            fun replicaOf(builder: LogBuilder) =
                ConfigurationReplica().also { it.offer(RecordBatch(-1, builder.entries)) }

            val peer = replicaOf(builder)
            val sender = replicaOf(builder)
            builder.add(ConfigurationRecord(2, first.withOneChange(1)))
            sender.offer(RecordBatch(0, builder.entries.drop(1)))

            fun changesAfter(offset: Long) = sender.deltaEncoded(sender.recordsAfter(offset)!!)

            it("sends only the changes since the version that the peer holds") {
                val body =
                    changesAfter(0)
                        .entries
                        .single()
                        .record.body
                body.shouldBeInstanceOf<MeshChangeRecord>().change.routeCount shouldBe 1
            }

            // Guards against a peer whose state differs from that of the sender, or that forwards the change to a third
            // node.
            it("leads the peer to the same state, and the peer serves whole configurations again") {
                peer.offer(changesAfter(0)).shouldBeInstanceOf<OfferResult.Applied>()
                peer.state shouldBe sender.state
                peer.contentHash shouldBe sender.contentHash
                peer
                    .recordsAfter(0)!!
                    .entries
                    .single()
                    .record.body
                    .shouldBeInstanceOf<ConfigurationRecord>()
            }

            it("keeps the instances of routes that stay the same") {
                val id = first.routes.keys.first()
                peer.state.mesh.routes[id] shouldBeSameInstanceAs first.routes[id]
                sender.state.mesh.routes[id] shouldBeSameInstanceAs first.routes[id]
            }

            it("sends whole configurations to a peer whose version it no longer holds") {
                changesAfter(-1).entries.map { it.record.body::class } shouldBe
                    listOf(ConfigurationRecord::class)
            }

            // Guards against a change that is applied to a configuration other than its base.
            it("has its change rejected by a peer with a different configuration") {
                val other = ConfigurationReplica()
                val foreign = LogBuilder().add(ConfigurationRecord(1, randomMesh(Random(9))))
                other.offer(RecordBatch(-1, foreign.entries))
                val before = other.state
                other.offer(changesAfter(0)).shouldBeInstanceOf<OfferResult.Rejected>()
                other.state shouldBe before
            }

            // Nodes treat such a record in the log as unreadable. Guards against readers of the log that apply it and
            // diverge.
            it("sends a change that only advances the offset if the log contains it") {
                val state = builder.state()
                val entry = LogEntry(state.offset + 1, 9, changesAfter(0).entries.single().record)
                fold(state, entry) shouldBe state.copy(offset = state.offset + 1)
            }
        }
    })
