package dev.baobabhollow.peers

import dev.baobabhollow.model.ConfigurationRecord
import dev.baobabhollow.model.FailureDomainId
import dev.baobabhollow.model.LogRecord
import dev.baobabhollow.model.MeshConfig
import dev.baobabhollow.model.MoveId
import dev.baobabhollow.model.MoveOrderRecord
import dev.baobabhollow.model.MovePhase
import dev.baobabhollow.model.NodeId
import dev.baobabhollow.model.OrderedStage
import dev.baobabhollow.model.RecordBody
import dev.baobabhollow.model.ReleaseId
import dev.baobabhollow.model.ServiceId
import dev.baobabhollow.model.WriterId
import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import kotlin.time.Duration.Companion.seconds

private val RELEASE = ReleaseId("v2")
private val SERVICE = ServiceId("s")
private val B = FailureDomainId("b")

private fun FakePlatformLog.add(body: RecordBody): Long =
    append(LogRecord(WriterId("operator"), records().size + 1L, body))

private fun FakePlatformLog.version(number: Long) = add(ConfigurationRecord(number, MeshConfig.EMPTY))

private fun TestFleet.startWithVersions(count: Long) {
    reserve("a-1", "a-2", "b-1", "b-2")
    (1..count).forEach { log.version(it) }
    startAll()
}

private suspend fun TestFleet.awaitFormed(version: Long) =
    awaitAll {
        it.plane.state.version == version && it.plane.view
            .live()
            .size == 4
    }

private suspend fun TestFleet.awaitEra(
    era: Long,
    version: Long,
) = awaitAll { it.plane.state.era == era && it.plane.state.version == version }

private fun TestFleet.assertNoVersionDecreased() =
    nodes.values.forEach { node -> node.versions.toList().let { it shouldBe it.sorted() } }

class StoreEraFleetSpec :
    DescribeSpec({
        listOf(true, false).forEach { announces ->
            val settings = TestFleet.SETTINGS.copy(announcesRecords = announces, writesSnapshots = false)
            val way = if (announces) "announced" else "pushed"

            describe("a fleet whose log returns from an older copy, with records that are $way") {
                // Guards against nodes that ignore what the operator writes again.
                it("keeps its version until a newer one is written, and then takes that one") {
                    TestFleet(settings = settings).use { fleet ->
                        fleet.startWithVersions(3)
                        fleet.awaitFormed(3)
                        fleet.log.comeBackWith(1)
                        fleet.awaitEra(1, 3)
                        fleet.log.version(4)
                        fleet.awaitEra(1, 4)
                        fleet.assertNoVersionDecreased()
                        fleet.nodes.values.sumOf { it.count("baobabhollow_control_divergences") } shouldBe 0.0
                        fleet.nodes.values.forEach { it.count("baobabhollow_configuration_era_changes") shouldBe 1.0 }
                    }
                }

                // Guards against nodes without access to the log that ignore their peers since their offset is higher.
                it("brings a domain to the new era that reaches the log only through other domains") {
                    TestFleet(settings = settings).use { fleet ->
                        fleet.startWithVersions(3)
                        fleet.awaitFormed(3)
                        fleet.cutFromLog += B
                        fleet.log.comeBackWith(1)
                        fleet.log.version(4)
                        fleet.awaitEra(1, 4)
                        fleet.assertNoVersionDecreased()
                    }
                }

                // Guards against a domain that missed two eras and takes the records of one for those of another.
                it("brings a domain up to date that was cut off meanwhile") {
                    TestFleet(settings = settings).use { fleet ->
                        fleet.startWithVersions(3)
                        fleet.awaitFormed(3)
                        fleet.cutFromLog += B
                        fleet.cutFromPeers += B
                        fleet.log.comeBackWith(1)
                        fleet.log.version(4)
                        fleet.awaitAll { it.record.failureDomain == B || it.plane.state.version == 4L }
                        fleet.log.comeBackWith(1)
                        (5L..7L).forEach { fleet.log.version(it) }
                        fleet.awaitAll { it.record.failureDomain == B || it.plane.state.version == 7L }
                        fleet.cutFromLog -= B
                        fleet.cutFromPeers -= B
                        fleet.awaitEra(2, 7)
                        fleet.assertNoVersionDecreased()
                    }
                }

                // Guards against a node that restarts during the drill and serves the older version of the copy.
                it("gives a restarted node the version that the log has lost") {
                    TestFleet(settings = settings).use { fleet ->
                        fleet.startWithVersions(3)
                        fleet.awaitFormed(3)
                        fleet.stop("a-2")
                        fleet.log.comeBackWith(1)
                        fleet.start("a-2", incarnation = 2)
                        fleet.awaitEra(1, 3)
                        fleet.log.version(4)
                        fleet.awaitEra(1, 4)
                    }
                }
            }
        }

        describe("a move that was taken back before its log returned from an older copy") {
            // Guards against an acknowledged take-back that is forgotten, so that the release gets traffic again.
            it("stays taken back, and its status is stored again, although its order is written at another offset") {
                TestFleet(settings = TestFleet.SETTINGS.copy(writesSnapshots = false)).use { fleet ->
                    fleet.reserve("a-1", "b-1")
                    fleet.log.version(1)
                    val offset = fleet.log.add(MoveOrderRecord(SERVICE, RELEASE, 600_000))
                    val move = MoveId("$SERVICE/$offset")
                    val final = OrderedStage(move, SERVICE, RELEASE, 2, MovePhase.TAKEN_BACK, 0, 5, 600_005)
                    fleet.log.stages = listOf(final)
                    fleet.startAll()
                    val phases = { node: TestNode ->
                        node.plane.state.moves
                            .mapValues { it.value.phase }
                    }
                    fleet.awaitAll { phases(it) == mapOf(move to MovePhase.TAKEN_BACK) }
                    fleet.log.stages = emptyList()
                    fleet.log.comeBackWith(1)
                    fleet.log.version(2)
                    fleet.log.add(MoveOrderRecord(SERVICE, RELEASE, 600_000))
                    fleet.awaitAll { it.plane.state.era == 1L && it.plane.state.offset == 2L }
                    eventually(5.seconds) {
                        fleet.log.stages.map { it.move to it.phase } shouldBe
                            listOf(move to MovePhase.TAKEN_BACK)
                    }
                    fleet.nodes.getValue(NodeId("a-1")).let { phases(it) } shouldBe mapOf(move to MovePhase.TAKEN_BACK)
                    fleet.stop("b-1")
                    fleet.start("b-1", incarnation = 2)
                    fleet.awaitAll { phases(it) == mapOf(move to MovePhase.TAKEN_BACK) }
                }
            }
        }
    })
