package dev.baobabhollow.calls

import dev.baobabhollow.model.ANNOUNCED_RELEASE
import dev.baobabhollow.model.ConfigurationState
import dev.baobabhollow.model.FailureDomainId
import dev.baobabhollow.model.MemberId
import dev.baobabhollow.model.MeshConfig
import dev.baobabhollow.model.MoveId
import dev.baobabhollow.model.MoveOrder
import dev.baobabhollow.model.NodeId
import dev.baobabhollow.model.NodeRecord
import dev.baobabhollow.model.ServiceConfig
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.doubles.shouldBeGreaterThan
import io.kotest.matchers.doubles.shouldBeLessThan
import io.kotest.matchers.shouldBe
import kotlin.random.Random

private const val A = "a"
private const val B = "b"

class EvacuatedTargetsSpec :
    DescribeSpec({
        val nodes = listOf(node("a1"), node("a2"), node("b1", "b"))

        fun compile(
            vararg evacuated: String,
            state: ConfigurationState = state(),
            records: List<NodeRecord> = nodes,
        ) = RoutingTable.compile(
            state.copy(evacuatedDomains = evacuated.map(::FailureDomainId).toSet()),
            view(records),
            emptySet(),
        )

        fun RoutingTable.targets() = services.getValue(VITRINA).targets.map { it.node.value }

        describe("a routing table while a failure domain is evacuated") {
            it("holds no targets of that domain") {
                compile(A).targets() shouldBe listOf("b1")
                compile(A).nodes shouldBe setOf(NodeId("b1"))
                compile(B).targets() shouldBe listOf("a1", "a2")
                compile().targets() shouldBe listOf("a1", "a2", "b1")
            }

            // Guards against calls to evacuated targets because a service would have no others.
            it("holds no targets if all domains are evacuated, but still the routes") {
                val table = compile(A, B)
                table.targets().shouldBeEmpty()
                table.isReady shouldBe true
                table.match("/vitrina/1")?.service?.id shouldBe VITRINA
            }

            // Guards against 404 from a node that has read the order before the configuration.
            it("is not ready before it holds a configuration") {
                compile(A, state = ConfigurationState(offset = 0)).isReady shouldBe false
            }

            // Guards against calls to a release that no order names, because its rivals are evacuated.
            it("keeps to the release that most targets announce, counting the evacuated ones") {
                val service = ServiceConfig(MemberId("m"), emptySet(), ANNOUNCED_RELEASE)
                val announced = state().copy(mesh = MeshConfig(services = mapOf(VITRINA to service)))
                val records = nodes.take(2) + node("b1", "b", NEW)
                compile(state = announced, records = records).targets() shouldBe listOf("a1", "a2")
                compile(A, state = announced, records = records).targets().shouldBeEmpty()
                compile(B, state = announced, records = records).targets() shouldBe listOf("a1", "a2")
                val move = state(sharePermille = 500).moves.getValue(MOVE)
                val order = mapOf(VITRINA to MoveOrder(MoveId("move"), NEW, 10))
                val moving = announced.copy(moves = mapOf(MOVE to move), orders = order)
                compile(B, state = moving, records = records).targets() shouldBe listOf("a1", "a2")
            }
        }

        describe("a target whose domain is no longer evacuated") {
            // Guards against all calls at once to targets that may have become cold during the evacuation.
            it("gets calls as slowly as a new one") {
                val settings = PickerSettings(selectionPolicy = SelectionPolicy.SHORTEST_WAIT, slowStartMillis = 3_000)
                val picker = TargetPicker(settings, NodeId("self"), OutlierDetector(OutlierSettings())) { 0 }
                val all = compile().services.getValue(VITRINA).current
                val random = Random(1)

                fun shareOfA(nowMillis: Long) =
                    (0 until 1_000).count {
                        picker.pick(all, emptySet(), nowMillis, random)?.failureDomain?.value == A
                    } / 1_000.0
                all.all.forEach { target ->
                    picker.started(target, 0)
                    picker.finished(target, 60_000, 300, 0)
                }
                val before = shareOfA(10_000)
                picker.retain(compile(A).nodes)
                picker.retain(compile().nodes)
                shareOfA(20_000) shouldBeLessThan before / 2
                shareOfA(24_000) shouldBeGreaterThan before * 0.9
            }
        }
    })
