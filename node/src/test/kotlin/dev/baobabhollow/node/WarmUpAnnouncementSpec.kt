package dev.baobabhollow.node

import com.github.michaelbull.result.Ok
import dev.baobabhollow.model.Endpoint
import dev.baobabhollow.model.ReleaseId
import dev.baobabhollow.model.ServiceId
import dev.baobabhollow.model.TargetRecord
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import java.util.concurrent.CompletableFuture

private val ENDPOINT = Endpoint("127.0.0.1", 7_000)
private val SERVICE = ServiceId("s")

class WarmUpAnnouncementSpec :
    DescribeSpec({
        class Fixture {
            val reports = mutableListOf<Pair<Long?, Long?>>()
            val records = mutableListOf<TargetRecord?>()
            var next = heartbeat(1, 2_500)
            private val adapter =
                object : PlatformAdapter by OwnPlatform(ENDPOINT, { 0 }) {
                    override fun readAnnouncement(request: OperatorRequest) = Ok(next)
                }
            val handler =
                AnnouncementHandler(
                    AnnouncedTargetSettings(ENDPOINT, SERVICE, ENDPOINT),
                    adapter,
                    { 0 },
                    { target, _ ->
                        records += target
                        CompletableFuture.completedFuture(Unit)
                    },
                    { born, left -> reports += born to left },
                    {},
                )

            fun heartbeat(
                sequence: Long,
                leftMillis: Long?,
                born: Long = 100,
            ) = TargetHeartbeat("i-1", born, sequence, ENDPOINT, SERVICE, ReleaseId("v1"), 8, false, leftMillis)

            fun send(heartbeat: TargetHeartbeat) {
                next = heartbeat
                handler.handle(OperatorRequest("POST", "/", ""))
            }
        }

        describe("a message of a target that states its warm-up") {
            // Guards against a target that is called as a warm one because its report got lost on the way.
            it("reaches the limiter from heartbeats and health responses, confirmed or not, unless it is stale") {
                val fixture = Fixture()
                fixture.send(fixture.heartbeat(1, 2_500))
                fixture.handler.onProbeResponse(DiscoveredTarget("i-1", 8, 2_400))
                fixture.send(fixture.heartbeat(2, null))
                fixture.send(fixture.heartbeat(2, 0))
                fixture.send(fixture.heartbeat(9, 0, born = 50))
                fixture.reports shouldBe listOf(100L to 2_500L, null to 2_400L, 100L to null)
            }
        }

        describe("a change of the limit of a cold target") {
            // Guards against entry nodes that avoid a warm target, or call a cold one, until the next change.
            it("is announced once") {
                val fixture = Fixture()
                fixture.send(fixture.heartbeat(1, 2_500))
                fixture.handler.onProbeResponse(DiscoveredTarget("i-1", 8, 2_400))
                val before = fixture.records.size
                listOf(15.75, 15.75, null, null).forEach { fixture.handler.checkWarmth(it) }
                fixture.records.size shouldBe before + 2
            }
        }
    })
