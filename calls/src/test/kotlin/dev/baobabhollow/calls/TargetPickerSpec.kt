package dev.baobabhollow.calls

import dev.baobabhollow.model.NodeId
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.doubles.shouldBeLessThan
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.ints.shouldBeInRange
import io.kotest.matchers.ints.shouldBeLessThan
import io.kotest.matchers.shouldBe
import kotlin.random.Random

class TargetPickerSpec :
    DescribeSpec({
        val settings = PickerSettings()
        val warmMillis = settings.slowStartMillis * 2
        val local = List(4) { target("l$it") }
        val remote = List(4) { target("r$it", "b") }
        val targets = ReleaseTargets(OLD, local, remote)

        class Fixture(
            ownFreeSlots: Int = 0,
            self: String = "self",
        ) {
            val outliers = OutlierDetector(OutlierSettings())
            val picker = TargetPicker(settings, NodeId(self), outliers) { ownFreeSlots }
            val random = Random(11)

            init {
                targets.all.forEach { finish(it, 1_000, 0, 0) }
            }

            fun finish(
                target: TargetEndpoint,
                micros: Long,
                load: Int,
                nowMillis: Long,
            ) {
                picker.started(target, nowMillis)
                picker.finished(target, micros, load, nowMillis)
            }

            fun pick(
                nowMillis: Long,
                tried: Set<NodeId> = emptySet(),
                from: ReleaseTargets = targets,
            ) = picker.pick(from, tried, nowMillis, random)
        }

        describe("target choice") {
            it("stays in the own failure domain and spreads calls there") {
                val fixture = Fixture()
                val counts = (1..1_000).groupingBy { fixture.pick(warmMillis)!!.node.value }.eachCount()
                counts.keys shouldBe local.map { it.node.value }.toSet()
                counts.values.forEach { it shouldBeInRange 150..350 }
            }

            // Guards against all entry nodes leaving a loaded domain at once, which would overload another one.
            it("sends a growing share of the calls to other domains as the reported load rises") {
                val spilled =
                    listOf(600, 800, 900, 1_200).map { load ->
                        val fixture = Fixture()
                        local.forEach { target -> repeat(3) { fixture.finish(target, 1_000, load, warmMillis) } }
                        (1..1_000).count { fixture.pick(warmMillis)!! in remote }
                    }
                spilled[0] shouldBe 0
                spilled[1] shouldBeInRange 250..420
                spilled[2] shouldBeInRange 570..760
                spilled[3] shouldBe 1_000
            }

            it("prefers the target of the entry node itself while that has free slots") {
                val own = Fixture(ownFreeSlots = 1, self = "l2")
                repeat(50) { own.pick(warmMillis)?.node shouldBe NodeId("l2") }
                val full = Fixture(ownFreeSlots = 0, self = "l2")
                (1..100).map { full.pick(warmMillis)?.node }.toSet().size shouldBe 4
            }

            it("avoids slow targets and targets with many calls in flight") {
                val fixture = Fixture()
                repeat(30) { fixture.finish(local[0], 100_000, 0, warmMillis) }
                repeat(6) { fixture.picker.started(local[1], warmMillis) }
                val counts = (1..1_000).groupingBy { fixture.pick(warmMillis)!!.node.value }.eachCount()
                (counts["l0"] ?: 0) shouldBeLessThan 20
                (counts["l1"] ?: 0) shouldBeLessThan 250
            }

            // Guards against a target that was slow once and is never tried again.
            it("tries a slow target again after a while") {
                val fixture = Fixture()
                repeat(30) { fixture.finish(local[0], 100_000, 0, warmMillis) }
                val later = warmMillis + settings.observationHalfLifeMillis * 20
                (1..1_000).count { fixture.pick(later) == local[0] } shouldBeGreaterThan 100
            }

            it("gives a new target few calls at first") {
                val fixture = Fixture()
                val cold = ReleaseTargets(OLD, local + target("cold"), emptyList())

                fun share(now: Long) =
                    (1..1_000).count { fixture.pick(now, from = cold)!!.node.value == "cold" } / 1_000.0
                share(warmMillis) shouldBeLessThan 0.02
                val warm = share(warmMillis + settings.slowStartMillis * 2)
                (warm > 0.1) shouldBe true
            }

            it("never returns a target that was tried") {
                val fixture = Fixture()
                val tried = mutableSetOf<NodeId>()
                repeat(8) { tried.add(fixture.pick(warmMillis, tried)!!.node) shouldBe true }
                fixture.pick(warmMillis, tried) shouldBe null
            }

            // Guards against ejection that leaves a service without any target.
            it("uses ejected targets when no other is left") {
                val fixture = Fixture()
                targets.all.forEach { fixture.outliers.record(it, CallHealth.NO_CONNECTION, targets.all, warmMillis) }
                fixture.outliers.ejected(targets.all) shouldBe 4
                val rest = targets.all.filter { fixture.outliers.isUsable(it.node, warmMillis) }
                (fixture.pick(warmMillis, rest.map { it.node }.toSet()) == null) shouldBe false
            }
        }
    })
