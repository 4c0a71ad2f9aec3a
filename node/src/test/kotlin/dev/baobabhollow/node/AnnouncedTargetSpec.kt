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

private fun newTarget() = AnnouncedTarget(ENDPOINT, SERVICE, SILENCE_MILLIS)

/** Target whose health path has answered as [instance]. */
private fun probedTarget(instance: String = "i-1") =
    newTarget().also { it.onProbeResponse(DiscoveredTarget(instance, 12), 0) shouldBe AnnouncementResult.CHANGED }

class AnnouncedTargetSpec :
    DescribeSpec({
        describe("an announced target") {
            it("is unknown until its first heartbeat is confirmed") {
                val target = newTarget()
                target.record shouldBe null
                target.onMessage(heartbeat(), 0) shouldBe AnnouncementResult.UNCONFIRMED
                target.record shouldBe null
                target.onProbeResponse(DiscoveredTarget("i-1", 12), 0) shouldBe AnnouncementResult.CHANGED
                target.record?.instance shouldBe "i-1"
                target.record?.status shouldBe TargetStatus.SERVING
                target.onMessage(heartbeat(sequence = 2), 0) shouldBe AnnouncementResult.CONFIRMED
            }

            // Guards against a heartbeat that a partition delayed and that returns a draining target to service.
            it("ignores stale heartbeats") {
                val target = probedTarget()
                target.onMessage(heartbeat(sequence = 5), 0)
                target.onMessage(heartbeat(sequence = 6, isDraining = true), 0) shouldBe AnnouncementResult.CHANGED
                target.onMessage(heartbeat(sequence = 4), 0) shouldBe AnnouncementResult.IGNORED
                target.onMessage(heartbeat(sequence = 6), 0) shouldBe AnnouncementResult.IGNORED
                target.record?.status shouldBe TargetStatus.DRAINING
            }

            // Guards against a heartbeat of a crashed target that arrives after the first one of its successor.
            it("is that of the latest start, also under the same name") {
                val target = probedTarget()
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
                val target = probedTarget()
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
                val target = newTarget()
                target.onMessage(TargetLeave("i-1", null), 5_000) shouldBe AnnouncementResult.CHANGED
                target.onMessage(heartbeat(born = 100, sequence = 45), 7_000) shouldBe AnnouncementResult.IGNORED
                target.record shouldBe null
                target.onMessage(heartbeat(instance = "i-2", born = 200), 7_000) shouldBe
                    AnnouncementResult.UNCONFIRMED
                target.onProbeResponse(DiscoveredTarget("i-2", 12), 7_000) shouldBe AnnouncementResult.CHANGED
                target.onMessage(heartbeat(instance = "i-1", born = 6_000), 8_000) shouldBe AnnouncementResult.CHANGED
            }

            // Guards against a restarted node that takes a heartbeat from before a leave or a drain for news, when its
            // previous process has acknowledged that (review/3).
            it("is not announced by a heartbeat that its health path does not confirm") {
                val target = newTarget()
                target.onMessage(heartbeat(sequence = 5), 0) shouldBe AnnouncementResult.UNCONFIRMED
                target.needsProbe shouldBe true
                target.onProbeResponse(DiscoveredTarget("i-2", 12), 10) shouldBe AnnouncementResult.CHANGED
                target.record?.instance shouldBe "i-2"
                target.onMessage(heartbeat(sequence = 6), 1_000) shouldBe AnnouncementResult.UNCONFIRMED
                target.record?.instance shouldBe "i-2"
                target.onMessage(heartbeat(instance = "i-2", born = 200), 1_500) shouldBe AnnouncementResult.CHANGED
                target.needsProbe shouldBe false
                target.onMessage(heartbeat(sequence = 7), 2_000) shouldBe AnnouncementResult.IGNORED
            }

            // Guards against calls to a target that does not report how many it accepts, and against a heartbeat that is
            // not confirmed for the same reason.
            it("is announced only by its heartbeat if its health path does not state the slots") {
                val target = newTarget()
                target.onProbeResponse(DiscoveredTarget("i-1", null), 0) shouldBe AnnouncementResult.CONFIRMED
                target.record shouldBe null
                target.onMessage(heartbeat(), 10) shouldBe AnnouncementResult.CHANGED
                target.record?.slots shouldBe 12
            }

            // Guards against a target that is never used because its health path fails while it serves.
            it("is announced once its heartbeats have continued for longer than one is delayed") {
                val target = newTarget()
                target.onMessage(heartbeat(sequence = 5), 1_000) shouldBe AnnouncementResult.UNCONFIRMED
                target.onMessage(heartbeat(sequence = 5), 1_000 + SILENCE_MILLIS) shouldBe AnnouncementResult.IGNORED
                target.onMessage(heartbeat(sequence = 6), 999 + SILENCE_MILLIS) shouldBe
                    AnnouncementResult.UNCONFIRMED
                target.record shouldBe null
                target.onMessage(heartbeat(sequence = 7), 1_000 + SILENCE_MILLIS) shouldBe AnnouncementResult.CHANGED
                target.record?.status shouldBe TargetStatus.SERVING
            }

            // Guards against a late heartbeat that a probe from before the leave or the drain confirms.
            it("is not confirmed after it has left or drains") {
                val left = newTarget()
                left.onMessage(heartbeat(), 0)
                left.onMessage(TargetLeave("i-1", null), 10) shouldBe AnnouncementResult.CHANGED
                left.onProbeResponse(DiscoveredTarget("i-1", 12), 20) shouldBe AnnouncementResult.IGNORED
                left.record shouldBe null
                val draining = newTarget()
                draining.onMessage(heartbeat(sequence = 3), 0)
                draining.onMessage(heartbeat(sequence = 4, isDraining = true), 10) shouldBe AnnouncementResult.CHANGED
                draining.onProbeResponse(DiscoveredTarget("i-1", 12), 20) shouldBe AnnouncementResult.IGNORED
                draining.record?.status shouldBe TargetStatus.DRAINING
            }

            // Guards against a restarted node that believes the health path of a target whose leave or drain its earlier
            // process acknowledged (review/9). Other nodes remember it; the health path and heartbeats may be false or late.
            describe("that an earlier process withdrew, as other nodes remember") {
                val memory = probedTarget().record!!.copy(status = TargetStatus.DRAINING)

                fun AnnouncedTarget.remind(nowMillis: Long) = onEarlierWithdrawal(memory)

                it("is not put into service by its health path") {
                    val target = newTarget()
                    target.remind(0) shouldBe AnnouncementResult.CHANGED
                    target.onProbeResponse(DiscoveredTarget("i-1", 12), 10) shouldBe AnnouncementResult.IGNORED
                    target.record shouldBe null
                    target.announced shouldBe memory
                }

                it("is withdrawn again if its health path has named it before") {
                    val target = probedTarget()
                    target.remind(10) shouldBe AnnouncementResult.CHANGED
                    target.record shouldBe null
                    target.onProbeResponse(DiscoveredTarget("i-1", 12), 20) shouldBe AnnouncementResult.IGNORED
                    target.remind(30) shouldBe AnnouncementResult.IGNORED
                    target.announced shouldBe memory
                }

                it("is withdrawn again if its health path has confirmed a late heartbeat") {
                    val target = probedTarget()
                    target.onMessage(heartbeat(sequence = 5), 100) shouldBe AnnouncementResult.CHANGED
                    target.onMessage(heartbeat(sequence = 6), 1_600) shouldBe AnnouncementResult.CONFIRMED
                    target.remind(1_700) shouldBe AnnouncementResult.CHANGED
                    target.record shouldBe null
                    target.onMessage(heartbeat(sequence = 7), 3_100) shouldBe AnnouncementResult.UNCONFIRMED
                    target.onProbeResponse(DiscoveredTarget("i-1", 12), 3_110) shouldBe AnnouncementResult.IGNORED
                    target.record shouldBe null
                }

                it("is used again once its heartbeats continue, since it may have started again") {
                    val target = probedTarget()
                    target.onMessage(heartbeat(sequence = 1), 1_000)
                    target.remind(1_100)
                    target.onMessage(heartbeat(sequence = 2), 999 + SILENCE_MILLIS) shouldBe
                        AnnouncementResult.UNCONFIRMED
                    target.onMessage(heartbeat(sequence = 3), 1_000 + SILENCE_MILLIS) shouldBe
                        AnnouncementResult.CHANGED
                    target.announced?.status shouldBe TargetStatus.SERVING
                    target.remind(2_000 + SILENCE_MILLIS) shouldBe AnnouncementResult.IGNORED
                }

                it("stays in use if its heartbeats have continued for longer than one is delayed") {
                    val target = probedTarget()
                    (0..4).forEach { target.onMessage(heartbeat(sequence = it + 1L), it * 1_500L) }
                    target.remind(SILENCE_MILLIS + 10) shouldBe AnnouncementResult.IGNORED
                    target.record?.status shouldBe TargetStatus.SERVING
                }

                it("does not stand for its successor, or for what this process was told itself") {
                    val successor = probedTarget("i-2")
                    successor.onMessage(heartbeat(instance = "i-2"), 10)
                    successor.remind(20) shouldBe AnnouncementResult.IGNORED
                    successor.record?.status shouldBe TargetStatus.SERVING
                    val draining = newTarget()
                    draining.onMessage(heartbeat(isDraining = true), 0)
                    draining.remind(10) shouldBe AnnouncementResult.IGNORED
                    val left = newTarget()
                    left.onMessage(TargetLeave("i-1", null), 0)
                    left.remind(10) shouldBe AnnouncementResult.IGNORED
                }
            }

            // Guards against a restart after which nobody remembers a leave, since all nodes were killed.
            it("is not used for long if only its health path names it") {
                val target = probedTarget()
                target.checkSilence(SILENCE_MILLIS / 2) shouldBe false
                target.checkSilence(SILENCE_MILLIS / 2 + 1) shouldBe true
                target.record?.status shouldBe TargetStatus.DOWN
            }

            // Guards against a leave that other nodes can't remember, since the record of its node became empty.
            it("is announced as draining once it has left, until another one serves") {
                val target = probedTarget()
                target.onMessage(heartbeat(), 0)
                target.onMessage(TargetLeave("i-1", null), 10)
                target.record shouldBe null
                target.announced?.instance shouldBe "i-1"
                target.announced?.status shouldBe TargetStatus.DRAINING
                target.onMessage(heartbeat(instance = "i-2", born = 200), 20)
                target.announced shouldBe target.record
                val unknown = newTarget()
                unknown.onMessage(TargetLeave("i-1", null), 0)
                unknown.announced?.instance shouldBe "i-1"
                unknown.announced?.status shouldBe TargetStatus.DRAINING
            }

            it("is not one at another address") {
                val target = newTarget()
                target.onMessage(heartbeat(endpoint = Endpoint("10.1.0.9", 8301)), 0) shouldBe
                    AnnouncementResult.IGNORED
                target.record shouldBe null
            }

            // Guards against a restarted node that serves no calls until the next heartbeat of its target.
            it("is known from a probe, without a release, until it announces itself") {
                val target = newTarget()
                target.needsProbe shouldBe true
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
                val draining = newTarget()
                draining.onMessage(heartbeat(isDraining = true), 0)
                draining.onProbeResponse(DiscoveredTarget("i-1", 12), 0) shouldBe AnnouncementResult.IGNORED
                draining.record?.status shouldBe TargetStatus.DRAINING
                val left = newTarget()
                left.onMessage(TargetLeave("i-1", null), 0)
                left.onProbeResponse(DiscoveredTarget("i-1", 12), 0) shouldBe AnnouncementResult.IGNORED
                left.record shouldBe null
            }

            it("is removed when it leaves after a probe") {
                val target = newTarget()
                target.onProbeResponse(DiscoveredTarget("i-1", 12), 0)
                target.onMessage(TargetLeave("i-1", null), 0) shouldBe AnnouncementResult.CHANGED
                target.record shouldBe null
            }

            it("is down after too long a silence, until the next heartbeat") {
                val target = probedTarget()
                newTarget().checkSilence(SILENCE_MILLIS * 2) shouldBe false
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
