package dev.baobabhollow.node

import dev.baobabhollow.model.Endpoint
import dev.baobabhollow.model.ReleaseId
import dev.baobabhollow.model.ServiceId
import dev.baobabhollow.model.TargetStatus
import dev.baobabhollow.model.UNKNOWN_RELEASE
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe

private val ENDPOINT = Endpoint("10.1.0.8", 8301)
private val SERVICE = ServiceId("s")
private const val SILENCE_MILLIS = 6_000L

private fun heartbeat(
    instance: String = "i-1",
    born: Long = 100,
    sequence: Long = 1,
    isDraining: Boolean = false,
    endpoint: Endpoint = ENDPOINT,
) = TargetHeartbeat(instance, born, sequence, endpoint, SERVICE, ReleaseId("v1"), 12, isDraining)

class AnnouncedTargetSpec :
    DescribeSpec({
        describe("an announced target") {
            it("is unknown until its first heartbeat") {
                val target = AnnouncedTarget(ENDPOINT, SERVICE, SILENCE_MILLIS)
                target.record shouldBe null
                target.onMessage(heartbeat(), 0) shouldBe AnnouncementResult.CHANGED
                target.record?.instance shouldBe "i-1"
                target.record?.status shouldBe TargetStatus.SERVING
                target.onMessage(heartbeat(sequence = 2), 0) shouldBe AnnouncementResult.CONFIRMED
            }

            // Guards against a heartbeat that a partition delayed and that returns a draining target to service.
            it("ignores stale heartbeats") {
                val target = AnnouncedTarget(ENDPOINT, SERVICE, SILENCE_MILLIS)
                target.onMessage(heartbeat(sequence = 5), 0)
                target.onMessage(heartbeat(sequence = 6, isDraining = true), 0) shouldBe AnnouncementResult.CHANGED
                target.onMessage(heartbeat(sequence = 4), 0) shouldBe AnnouncementResult.IGNORED
                target.onMessage(heartbeat(sequence = 6), 0) shouldBe AnnouncementResult.IGNORED
                target.record?.status shouldBe TargetStatus.DRAINING
            }

            // Guards against a heartbeat of a crashed target that arrives after the first one of its successor.
            it("is that of the latest start, also under the same name") {
                val target = AnnouncedTarget(ENDPOINT, SERVICE, SILENCE_MILLIS)
                target.onMessage(heartbeat(born = 100, sequence = 50), 0)
                target.onMessage(heartbeat(instance = "i-2", born = 200, sequence = 1), 0) shouldBe
                    AnnouncementResult.CHANGED
                target.onMessage(heartbeat(born = 100, sequence = 51), 0) shouldBe AnnouncementResult.IGNORED
                target.onMessage(heartbeat(instance = "i-2", born = 300, sequence = 1, isDraining = true), 0)
                target.onMessage(heartbeat(instance = "i-2", born = 200, sequence = 2), 0) shouldBe
                    AnnouncementResult.IGNORED
                target.record?.status shouldBe TargetStatus.DRAINING
            }

            // Guards against calls to a target that has left but still accepts connections for some seconds.
            it("is removed once it has left, and a later heartbeat does not restore it") {
                val target = AnnouncedTarget(ENDPOINT, SERVICE, SILENCE_MILLIS)
                target.onMessage(heartbeat(), 0)
                target.onMessage(TargetLeave("i-2", 50), 0)
                target.record?.instance shouldBe "i-1"
                target.onMessage(TargetLeave("i-1", 50), 0) shouldBe AnnouncementResult.IGNORED
                target.onMessage(TargetLeave("i-1", null), 0) shouldBe AnnouncementResult.CHANGED
                target.record shouldBe null
                target.onMessage(heartbeat(sequence = 9), 0) shouldBe AnnouncementResult.IGNORED
                target.onMessage(heartbeat(instance = "i-0", born = 99), 0) shouldBe AnnouncementResult.IGNORED
                target.onMessage(heartbeat(born = 101), 0) shouldBe AnnouncementResult.CHANGED
            }

            // Guards against a restarted node that receives a leave message and then a delayed heartbeat from before
            // it.
            it("has left also for a node that did not know it, until it restarts") {
                val target = AnnouncedTarget(ENDPOINT, SERVICE, SILENCE_MILLIS)
                target.onMessage(TargetLeave("i-1", null), 5_000) shouldBe AnnouncementResult.CHANGED
                target.onMessage(heartbeat(born = 100, sequence = 45), 7_000) shouldBe AnnouncementResult.IGNORED
                target.record shouldBe null
                target.onMessage(heartbeat(instance = "i-2", born = 200), 7_000) shouldBe AnnouncementResult.CHANGED
                target.onMessage(heartbeat(instance = "i-1", born = 6_000), 8_000) shouldBe AnnouncementResult.CHANGED
            }

            it("is not one at another address") {
                val target = AnnouncedTarget(ENDPOINT, SERVICE, SILENCE_MILLIS)
                target.onMessage(heartbeat(endpoint = Endpoint("10.1.0.9", 8301)), 0) shouldBe
                    AnnouncementResult.IGNORED
                target.record shouldBe null
            }

            // Guards against a restarted node that serves no calls until the next heartbeat of its target.
            it("is known from a probe, without a release, until it announces itself") {
                val target = AnnouncedTarget(ENDPOINT, SERVICE, SILENCE_MILLIS)
                target.hasAnnounced shouldBe false
                target.onProbeResponse(DiscoveredTarget("i-1", 12), 0) shouldBe AnnouncementResult.CHANGED
                target.record?.instance shouldBe "i-1"
                target.record?.service shouldBe SERVICE
                target.record?.release shouldBe UNKNOWN_RELEASE
                target.checkSilence(SILENCE_MILLIS + 1) shouldBe true
                target.record?.status shouldBe TargetStatus.DOWN
                target.onMessage(heartbeat(), SILENCE_MILLIS + 2) shouldBe AnnouncementResult.CHANGED
                target.record?.release shouldBe ReleaseId("v1")
            }

            // Guards against a probe response in flight that reverts a leave or drain which the node has acknowledged.
            it("ignores probe responses once it has announced something") {
                val draining = AnnouncedTarget(ENDPOINT, SERVICE, SILENCE_MILLIS)
                draining.onMessage(heartbeat(isDraining = true), 0)
                draining.onProbeResponse(DiscoveredTarget("i-1", 12), 0) shouldBe AnnouncementResult.IGNORED
                draining.record?.status shouldBe TargetStatus.DRAINING
                val left = AnnouncedTarget(ENDPOINT, SERVICE, SILENCE_MILLIS)
                left.onMessage(TargetLeave("i-1", null), 0)
                left.onProbeResponse(DiscoveredTarget("i-1", 12), 0) shouldBe AnnouncementResult.IGNORED
                left.record shouldBe null
            }

            it("is removed when it leaves after a probe") {
                val target = AnnouncedTarget(ENDPOINT, SERVICE, SILENCE_MILLIS)
                target.onProbeResponse(DiscoveredTarget("i-1", 12), 0)
                target.onMessage(TargetLeave("i-1", null), 0) shouldBe AnnouncementResult.CHANGED
                target.record shouldBe null
            }

            it("is down after too long a silence, until the next heartbeat") {
                val target = AnnouncedTarget(ENDPOINT, SERVICE, SILENCE_MILLIS)
                target.checkSilence(SILENCE_MILLIS * 2) shouldBe false
                target.onMessage(heartbeat(), 0)
                target.checkSilence(SILENCE_MILLIS) shouldBe false
                target.checkSilence(SILENCE_MILLIS + 1) shouldBe true
                target.record?.status shouldBe TargetStatus.DOWN
                target.checkSilence(SILENCE_MILLIS + 2) shouldBe false
                target.onMessage(heartbeat(sequence = 2), SILENCE_MILLIS + 3) shouldBe AnnouncementResult.CHANGED
                target.record?.status shouldBe TargetStatus.SERVING
            }
        }
    })
