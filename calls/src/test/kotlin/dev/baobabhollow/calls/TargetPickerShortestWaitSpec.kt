package dev.baobabhollow.calls

import dev.baobabhollow.model.NodeId
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.ints.shouldBeLessThan
import io.kotest.matchers.shouldBe
import kotlin.random.Random

class TargetPickerShortestWaitSpec :
    DescribeSpec({
        val settings = PickerSettings(selectionPolicy = SelectionPolicy.SHORTEST_WAIT, slowStartMillis = 100)
        val local = target("local", "a")
        val remote = List(3) { target("remote$it", "b") }
        val targets = ReleaseTargets(OLD, listOf(local), remote)

        class Fixture {
            val outliers = OutlierDetector(OutlierSettings())
            val picker = TargetPicker(settings, NodeId("self"), outliers) { 0 }
            val random = Random(3)

            fun finish(
                target: TargetEndpoint,
                micros: Long,
                load: Int = 300,
                nowMillis: Long = 1_000,
            ) {
                picker.started(target, nowMillis)
                picker.finished(target, micros, load, nowMillis)
            }

            fun shareOf(
                target: TargetEndpoint,
                nowMillis: Long = 1_000,
                profile: CallProfile = CallProfile(),
            ) = (0 until 1_000).count { picker.pick(targets, emptySet(), nowMillis, random, profile) == target }
        }

        describe("a service with one target in each failure domain") {
            // Guards against traffic between domains without a benefit.
            it("is called in the own domain while its targets are about equally fast") {
                val fixture = Fixture()
                targets.all.forEach { fixture.finish(it, 60_000) }
                fixture.shareOf(local) shouldBeGreaterThan 600
            }

            // Guards against uploads that take longer to transfer to another domain than the wait that this saves.
            it("is called in another domain with a long body only when that saves a long wait") {
                val fixture = Fixture()
                val afterSlowStart = 1_000 + settings.slowStartMillis
                val upload = CallProfile(transferBytes = 60_000)
                remote.forEach { fixture.finish(it, 60_000) }
                fixture.finish(local, 160_000)
                fixture.shareOf(local, afterSlowStart, upload) shouldBeGreaterThan 950
                repeat(40) { fixture.finish(local, 900_000) }
                fixture.shareOf(local, afterSlowStart, upload) shouldBeLessThan 50
            }

            // Guards against traffic between domains that saves less time than matters to the caller.
            it("is called in another domain to save less time if the latency objective is shorter") {
                val fixture = Fixture()
                val afterSlowStart = 1_000 + settings.slowStartMillis
                remote.forEach { fixture.finish(it, 60_000) }
                fixture.finish(local, 120_000)
                fixture.shareOf(local, afterSlowStart, CallProfile(objectiveMillis = 100)) shouldBeLessThan 100
                fixture.shareOf(local, afterSlowStart, CallProfile(objectiveMillis = 1_000)) shouldBeGreaterThan 900
            }

            // Guards against callers that wait for a slow target in their domain while others are free.
            it("is called in another domain when the target of the own domain is much slower or full") {
                val slow = Fixture()
                remote.forEach { slow.finish(it, 60_000) }
                slow.finish(local, 160_000)
                slow.shareOf(local) shouldBeLessThan 50
                val full = Fixture()
                remote.forEach { full.finish(it, 60_000) }
                full.finish(local, 60_000, load = 1_500)
                full.shareOf(local) shouldBeLessThan 50
            }
        }

        describe("a target that has refused a call") {
            // Guards against an entry node that sends call after call to a full target because it ignores the load that
            // refusals report.
            it("is avoided while the load reported with the refusal is recent") {
                val fixture = Fixture()
                targets.all.forEach { fixture.finish(it, 60_000) }
                fixture.picker.started(local, 1_000)
                fixture.picker.finished(local, null, 3_000, 1_000)
                fixture.shareOf(local) shouldBeLessThan 50
                fixture.shareOf(local, 1_000 + settings.observationHalfLifeMillis * 4) shouldBeGreaterThan 500
            }
        }

        describe("a service whose latencies are unknown") {
            // Guards against a start at which all entry nodes fill the target in their domain before its first
            // response.
            it("is called in another domain when the target of the own domain is full") {
                val fixture = Fixture()
                repeat(12) { fixture.picker.started(local, 1_000) }
                fixture.shareOf(local) shouldBeLessThan 100
            }
        }

        describe("a target that does not respond") {
            // Guards against calls to a target behind a partition, which end only at their deadline.
            it("gets no calls after a silence of several average latencies, until it responds") {
                val fixture = Fixture()
                targets.all.forEach { fixture.finish(it, 200_000) }
                fixture.picker.started(local, 1_000)
                fixture.shareOf(local, 1_700) shouldBeGreaterThan 0
                val later = 1_000 + 4 * 200 + 1L
                remote.forEach { fixture.finish(it, 60_000, nowMillis = later) }
                fixture.shareOf(local, later) shouldBe 0
                fixture.picker.finished(local, 60_000, 100, later)
                fixture.shareOf(local, later) shouldBeGreaterThan 0
            }

            it("is used when there is no other") {
                val fixture = Fixture()
                fixture.picker.started(local, 1_000)
                val only = ReleaseTargets(OLD, listOf(local), emptyList())
                fixture.picker.pick(only, emptySet(), 9_000, fixture.random) shouldBe local
            }
        }

        describe("a target that is cold") {
            // Guards against calls that collect refusals at cold targets while warm ones are free.
            it("gets calls only while there is no warm one") {
                val fixture = Fixture()
                val some = ReleaseTargets(OLD, listOf(local.copy(isCold = true)), remote)
                val picks = List(1_000) { fixture.picker.pick(some, emptySet(), 1_000, fixture.random)?.node }
                picks.count { it == local.node } shouldBe 0
                val tried = remote.mapTo(HashSet()) { it.node }
                fixture.picker.pick(some, tried, 1_000, fixture.random)?.node shouldBe local.node
                val suspects = ReleaseTargets(OLD, some.local, remote.map { it.copy(isSuspect = true) })
                fixture.picker.pick(suspects, emptySet(), 1_000, fixture.random)?.node shouldBe local.node
            }

            // Guards against further refusals until the owner's announcement arrives.
            it("is avoided from its refusal until the time that its owner has stated") {
                val fixture = Fixture()
                fixture.picker.refusedCold(local, 1_500, 1_000)
                fixture.shareOf(local, 1_499) shouldBe 0
                fixture.shareOf(local, 1_500) shouldBeGreaterThan 0
            }
        }

        describe("a target whose node does not respond to probes") {
            // Guards against calls to nodes behind a partition while membership waits for them to refute the suspicion.
            it("gets calls only while there is no other") {
                val fixture = Fixture()
                val suspect = local.copy(isSuspect = true)
                val some = ReleaseTargets(OLD, listOf(suspect), remote)
                val only = ReleaseTargets(OLD, listOf(suspect), remote.map { it.copy(isSuspect = true) })
                val picks = List(1_000) { fixture.picker.pick(some, emptySet(), 1_000, fixture.random)?.node }
                picks.count { it == local.node } shouldBe 0
                fixture.picker.pick(only, emptySet(), 1_000, fixture.random)?.isSuspect shouldBe true
            }
        }
    })
