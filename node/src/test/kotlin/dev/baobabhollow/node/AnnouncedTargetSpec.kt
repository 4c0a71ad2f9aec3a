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

private fun beat(
    instance: String = "i-1",
    born: Long = 100,
    sequence: Long = 1,
    isDraining: Boolean = false,
    endpoint: Endpoint = ENDPOINT,
) = TargetHeartbeat(instance, born, sequence, endpoint, SERVICE, ReleaseId("v1"), 12, isDraining)

class AnnouncedTargetSpec :
    DescribeSpec({
        describe("the target beside a node") {
            it("is unknown until its first heartbeat") {
                val target = AnnouncedTarget(ENDPOINT, SERVICE, SILENCE_MILLIS)
                target.record shouldBe null
                target.take(beat(), 0) shouldBe Announced.CHANGED
                target.record?.instance shouldBe "i-1"
                target.record?.status shouldBe TargetStatus.SERVING
                target.take(beat(sequence = 2), 0) shouldBe Announced.CONFIRMED
            }

            // Guards against a heartbeat that was held up by a partition and makes a draining target serve again.
            it("ignores heartbeats that come late") {
                val target = AnnouncedTarget(ENDPOINT, SERVICE, SILENCE_MILLIS)
                target.take(beat(sequence = 5), 0)
                target.take(beat(sequence = 6, isDraining = true), 0) shouldBe Announced.CHANGED
                target.take(beat(sequence = 4), 0) shouldBe Announced.IGNORED
                target.take(beat(sequence = 6), 0) shouldBe Announced.IGNORED
                target.record?.status shouldBe TargetStatus.DRAINING
            }

            // Guards against a heartbeat of a crashed target that arrives after its successor has announced itself.
            it("belongs to the start that was born last, also under the same name") {
                val target = AnnouncedTarget(ENDPOINT, SERVICE, SILENCE_MILLIS)
                target.take(beat(born = 100, sequence = 50), 0)
                target.take(beat(instance = "i-2", born = 200, sequence = 1), 0) shouldBe Announced.CHANGED
                target.take(beat(born = 100, sequence = 51), 0) shouldBe Announced.IGNORED
                target.take(beat(instance = "i-2", born = 300, sequence = 1, isDraining = true), 0)
                target.take(beat(instance = "i-2", born = 200, sequence = 2), 0) shouldBe Announced.IGNORED
                target.record?.status shouldBe TargetStatus.DRAINING
            }

            // Guards against work for a target that has left and still serves for some seconds.
            it("is gone once it has left, and a later heartbeat does not bring it back") {
                val target = AnnouncedTarget(ENDPOINT, SERVICE, SILENCE_MILLIS)
                target.take(beat(), 0)
                target.take(TargetLeave("i-2", 50), 0)
                target.record?.instance shouldBe "i-1"
                target.take(TargetLeave("i-1", 50), 0) shouldBe Announced.IGNORED
                target.take(TargetLeave("i-1", null), 0) shouldBe Announced.CHANGED
                target.record shouldBe null
                target.take(beat(sequence = 9), 0) shouldBe Announced.IGNORED
                target.take(beat(instance = "i-0", born = 99), 0) shouldBe Announced.IGNORED
                target.take(beat(born = 101), 0) shouldBe Announced.CHANGED
            }

            // Guards against a restarted node that hears a leave first, and then a heartbeat from before it that was held up.
            it("has left also for a node that had not heard of it, until it starts anew") {
                val target = AnnouncedTarget(ENDPOINT, SERVICE, SILENCE_MILLIS)
                target.take(TargetLeave("i-1", null), 5_000) shouldBe Announced.CHANGED
                target.take(beat(born = 100, sequence = 45), 7_000) shouldBe Announced.IGNORED
                target.record shouldBe null
                target.take(beat(instance = "i-2", born = 200), 7_000) shouldBe Announced.CHANGED
                target.take(beat(instance = "i-1", born = 6_000), 8_000) shouldBe Announced.CHANGED
            }

            it("names no target at another address") {
                val target = AnnouncedTarget(ENDPOINT, SERVICE, SILENCE_MILLIS)
                target.take(beat(endpoint = Endpoint("10.1.0.9", 8301)), 0) shouldBe Announced.IGNORED
                target.record shouldBe null
            }

            // Guards against a restarted node that serves nothing until the next heartbeat of its target.
            it("is what it answers when asked, without a release, until it announces itself") {
                val target = AnnouncedTarget(ENDPOINT, SERVICE, SILENCE_MILLIS)
                target.isHeard shouldBe false
                target.find(DiscoveredTarget("i-1", 12), 0) shouldBe Announced.CHANGED
                target.record?.instance shouldBe "i-1"
                target.record?.service shouldBe SERVICE
                target.record?.release shouldBe UNKNOWN_RELEASE
                target.checkSilence(SILENCE_MILLIS + 1) shouldBe true
                target.record?.status shouldBe TargetStatus.DOWN
                target.take(beat(), SILENCE_MILLIS + 2) shouldBe Announced.CHANGED
                target.record?.release shouldBe ReleaseId("v1")
            }

            // Guards against an answer on its way that undoes a leave or a drain which the node has acknowledged.
            it("takes no answer after it has announced something") {
                val draining = AnnouncedTarget(ENDPOINT, SERVICE, SILENCE_MILLIS)
                draining.take(beat(isDraining = true), 0)
                draining.find(DiscoveredTarget("i-1", 12), 0) shouldBe Announced.IGNORED
                draining.record?.status shouldBe TargetStatus.DRAINING
                val left = AnnouncedTarget(ENDPOINT, SERVICE, SILENCE_MILLIS)
                left.take(TargetLeave("i-1", null), 0)
                left.find(DiscoveredTarget("i-1", 12), 0) shouldBe Announced.IGNORED
                left.record shouldBe null
            }

            it("is gone when it leaves after it was asked") {
                val target = AnnouncedTarget(ENDPOINT, SERVICE, SILENCE_MILLIS)
                target.find(DiscoveredTarget("i-1", 12), 0)
                target.take(TargetLeave("i-1", null), 0) shouldBe Announced.CHANGED
                target.record shouldBe null
            }

            it("is down when it is silent for too long, until it is heard again") {
                val target = AnnouncedTarget(ENDPOINT, SERVICE, SILENCE_MILLIS)
                target.checkSilence(SILENCE_MILLIS * 2) shouldBe false
                target.take(beat(), 0)
                target.checkSilence(SILENCE_MILLIS) shouldBe false
                target.checkSilence(SILENCE_MILLIS + 1) shouldBe true
                target.record?.status shouldBe TargetStatus.DOWN
                target.checkSilence(SILENCE_MILLIS + 2) shouldBe false
                target.take(beat(sequence = 2), SILENCE_MILLIS + 3) shouldBe Announced.CHANGED
                target.record?.status shouldBe TargetStatus.SERVING
            }
        }
    })
