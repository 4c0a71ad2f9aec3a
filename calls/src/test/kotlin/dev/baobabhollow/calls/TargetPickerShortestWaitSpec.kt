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

        class Bench {
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
                distance: CallProfile = CallProfile(),
            ) = (0 until 1_000).count { picker.pick(targets, emptySet(), nowMillis, random, distance) == target }
        }

        describe("a service with one target in each failure domain") {
            // Guards against bytes between domains that buy nothing.
            it("is called in the own domain while its targets are about equal") {
                val bench = Bench()
                targets.all.forEach { bench.finish(it, 60_000) }
                bench.shareOf(local) shouldBeGreaterThan 600
            }

            // Guards against uploads whose bytes cost more than the wait that they are spared.
            it("is called elsewhere with a long body only when that saves a long wait") {
                val bench = Bench()
                val afterSlowStart = 1_000 + settings.slowStartMillis
                val upload = CallProfile(bodyBytes = 60_000)
                remote.forEach { bench.finish(it, 60_000) }
                bench.finish(local, 160_000)
                bench.shareOf(local, afterSlowStart, upload) shouldBeGreaterThan 950
                repeat(40) { bench.finish(local, 900_000) }
                bench.shareOf(local, afterSlowStart, upload) shouldBeLessThan 50
            }

            // Guards against bytes between domains that only save a time which does not matter to the caller.
            it("is called elsewhere for less time when the answer is due sooner") {
                val bench = Bench()
                val afterSlowStart = 1_000 + settings.slowStartMillis
                remote.forEach { bench.finish(it, 60_000) }
                bench.finish(local, 120_000)
                bench.shareOf(local, afterSlowStart, CallProfile(objectiveMillis = 100)) shouldBeLessThan 100
                bench.shareOf(local, afterSlowStart, CallProfile(objectiveMillis = 1_000)) shouldBeGreaterThan 900
            }

            // Guards against callers that wait for a slow target beside them while others are free.
            it("is called elsewhere when the target of the own domain is much slower or full") {
                val slow = Bench()
                remote.forEach { slow.finish(it, 60_000) }
                slow.finish(local, 160_000)
                slow.shareOf(local) shouldBeLessThan 50
                val full = Bench()
                remote.forEach { full.finish(it, 60_000) }
                full.finish(local, 60_000, load = 1_500)
                full.shareOf(local) shouldBeLessThan 50
            }
        }

        describe("a target that has refused a call") {
            // Guards against an entry node that offers call after call to a full target, because only answers told its
            // load.
            it("is passed over by the load that the refusal tells, until that is old") {
                val bench = Bench()
                targets.all.forEach { bench.finish(it, 60_000) }
                bench.picker.started(local, 1_000)
                bench.picker.finished(local, null, 3_000, 1_000)
                bench.shareOf(local) shouldBeLessThan 50
                bench.shareOf(local, 1_000 + settings.observationHalfLifeMillis * 4) shouldBeGreaterThan 500
            }
        }

        describe("a service whose latencies nobody knows yet") {
            // Guards against a start at which all entry nodes fill the target beside them before its first answer.
            it("is called elsewhere when the target of the own domain is full") {
                val bench = Bench()
                repeat(12) { bench.picker.started(local, 1_000) }
                bench.shareOf(local) shouldBeLessThan 100
            }
        }

        describe("a target that answers nothing") {
            // Guards against calls that vanish behind a partition until their deadline.
            it("gets no calls once it has been silent for several usual latencies, until it answers") {
                val bench = Bench()
                targets.all.forEach { bench.finish(it, 200_000) }
                bench.picker.started(local, 1_000)
                bench.shareOf(local, 1_700) shouldBeGreaterThan 0
                val later = 1_000 + 4 * 200 + 1L
                remote.forEach { bench.finish(it, 60_000, nowMillis = later) }
                bench.shareOf(local, later) shouldBe 0
                bench.picker.finished(local, 60_000, 100, later)
                bench.shareOf(local, later) shouldBeGreaterThan 0
            }

            it("is used when there is no other") {
                val bench = Bench()
                bench.picker.started(local, 1_000)
                val only = ReleaseTargets(OLD, listOf(local), emptyList())
                bench.picker.pick(only, emptySet(), 9_000, bench.random) shouldBe local
            }
        }

        describe("a target whose node answers no probes") {
            // Guards against calls to nodes behind a partition while membership still waits for their refutation.
            it("gets calls only while there is no other") {
                val bench = Bench()
                val suspect = local.copy(isSuspect = true)
                val some = ReleaseTargets(OLD, listOf(suspect), remote)
                val only = ReleaseTargets(OLD, listOf(suspect), remote.map { it.copy(isSuspect = true) })
                val picks = List(1_000) { bench.picker.pick(some, emptySet(), 1_000, bench.random)?.node }
                picks.count { it == local.node } shouldBe 0
                bench.picker.pick(only, emptySet(), 1_000, bench.random)?.isSuspect shouldBe true
            }
        }
    })
