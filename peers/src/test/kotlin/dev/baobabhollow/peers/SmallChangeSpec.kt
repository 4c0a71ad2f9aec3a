package dev.baobabhollow.peers

import dev.baobabhollow.model.ANNOUNCED_RELEASE
import dev.baobabhollow.model.ConfigurationRecord
import dev.baobabhollow.model.LogRecord
import dev.baobabhollow.model.MemberConfig
import dev.baobabhollow.model.MemberId
import dev.baobabhollow.model.MeshChange
import dev.baobabhollow.model.MeshChangeRecord
import dev.baobabhollow.model.MeshConfig
import dev.baobabhollow.model.RouteConfig
import dev.baobabhollow.model.RouteId
import dev.baobabhollow.model.ServiceConfig
import dev.baobabhollow.model.ServiceId
import dev.baobabhollow.model.WriterId
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.doubles.shouldBeLessThan
import kotlinx.coroutines.delay
import kotlin.time.Duration.Companion.milliseconds

private const val ROUTES = 2_280
private const val NODES = 8
private const val VERSIONS = 6

/** A tenth of the slowest link, 7 Mbit/s, at a peak rate of six versions per second. */
private const val BYTES_FOR_A_VERSION = 14_500.0

private val MEMBER = MemberId("m")
private val SERVICE = ServiceId("vitrina")

/** Returns a configuration that differs from the previous version in the timeout of one route. */
private fun mesh(version: Int) =
    MeshConfig(
        members = mapOf(MEMBER to MemberConfig("Member")),
        services = mapOf(SERVICE to ServiceConfig(MEMBER, emptySet(), ANNOUNCED_RELEASE)),
        routes =
            (0 until ROUTES).associate {
                val timeout = if (it == version) 700L else 1_500L
                RouteId("route-$it") to RouteConfig(SERVICE, "/route-$it/", timeoutMillis = timeout, host = "h.example")
            },
    )

private fun FakePlatformLog.publish(version: Int) =
    append(LogRecord(WriterId("operator"), version.toLong(), ConfigurationRecord(version.toLong(), mesh(version))))

class SmallChangeSpec :
    DescribeSpec({
        describe("versions that each change one route of many") {
            // Guards against links without capacity left for calls, because each node receives each version in full.
            it("use a small part of the slowest link") {
                val settings = TestFleet.SETTINGS.copy(announcesRecords = true, pullJitterMillis = 20)
                TestFleet(settings = settings).use { fleet ->
                    fleet.log.publish(1)
                    fleet.reserve(*Array(NODES) { "a-$it" })
                    fleet.startAll()
                    fleet.awaitAll { it.plane.state.version == 1L }
                    val before = fleet.nodes.values.associateWith { it.count("baobabhollow_control_bytes", "tcp") }
                    for (version in 2..VERSIONS + 1) {
                        fleet.log.publish(version)
                        fleet.awaitAll { it.plane.state.version == version.toLong() }
                        delay(50.milliseconds)
                    }
                    fleet.nodes.values.forEach { node ->
                        val bytes = node.count("baobabhollow_control_bytes", "tcp") - before.getValue(node)
                        bytes / VERSIONS shouldBeLessThan BYTES_FOR_A_VERSION
                    }
                }
            }

            // Guards against a change in the log that applies to no version and stops all readers.
            it("are applied after a change that was written to the log by mistake") {
                TestFleet(settings = TestFleet.SETTINGS.copy(announcesRecords = true)).use { fleet ->
                    fleet.log.publish(1)
                    val change = MeshChangeRecord(7, 8, MeshChange(), meshHash = "none")
                    fleet.log.append(LogRecord(WriterId("operator"), 2, change))
                    fleet.log.publish(3)
                    fleet.reserve("a-1", "a-2")
                    fleet.startAll()
                    fleet.awaitAll { it.plane.state.version == 3L }
                }
            }
        }
    })
