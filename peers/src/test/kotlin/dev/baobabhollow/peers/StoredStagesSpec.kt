package dev.baobabhollow.peers

import dev.baobabhollow.model.ConfigurationRecord
import dev.baobabhollow.model.LogRecord
import dev.baobabhollow.model.MeshConfig
import dev.baobabhollow.model.MoveId
import dev.baobabhollow.model.MoveOrderRecord
import dev.baobabhollow.model.MovePhase
import dev.baobabhollow.model.OrderedStage
import dev.baobabhollow.model.RecordBody
import dev.baobabhollow.model.ReleaseId
import dev.baobabhollow.model.ServiceId
import dev.baobabhollow.model.WriterId
import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.delay
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private val RELEASE = ReleaseId("v2")

/** More finished moves than a node keeps without their orders. */
private const val MOVES = 20

private fun FakePlatformLog.add(body: RecordBody): Long =
    append(LogRecord(WriterId("operator"), records().size + 1L, body))

/** Orders [count] moves and returns their final stages. */
private fun FakePlatformLog.orderMoves(count: Int): List<OrderedStage> {
    add(ConfigurationRecord(1, MeshConfig.EMPTY))
    return (1..count).map {
        val service = ServiceId("s$it")
        val offset = add(MoveOrderRecord(service, RELEASE, 10_000))
        OrderedStage(MoveId("$service/$offset"), service, RELEASE, 4, MovePhase.DONE, 1_000, 5, 10_005)
    }
}

class StoredStagesSpec :
    DescribeSpec({
        fun phases(node: TestNode) =
            node.plane.state.moves.values
                .map { it.phase }

        describe("a node that starts after moves have finished") {
            // Guards against finished moves that restart because their stages were read before their orders.
            it("treats all of them as finished") {
                TestFleet().use { fleet ->
                    fleet.log.stages = fleet.log.orderMoves(MOVES)
                    // The stages are readable some time before the orders.
                    fleet.log.hidesRecords = true
                    fleet.reserve("a-1")
                    val node = fleet.start("a-1")
                    delay(500.milliseconds)
                    fleet.log.hidesRecords = false
                    eventually(5.seconds) { node.plane.isReady shouldBe true }
                    phases(node) shouldBe List(MOVES) { MovePhase.DONE }
                }
            }

            // Guards against a move that restarts since a failed read of its stage is only retried with the next record.
            it("retries a failed read of the stages at once") {
                val settings = TestFleet.SETTINGS.copy(longPollMillis = 60_000, shortPollMillis = 60_000)
                TestFleet(settings = settings).use { fleet ->
                    fleet.log.stages = fleet.log.orderMoves(1)
                    fleet.log.failingStageReads.set(3)
                    fleet.reserve("a-1")
                    val node = fleet.start("a-1")
                    eventually(5.seconds) { phases(node) shouldBe listOf(MovePhase.DONE) }
                }
            }
        }
    })
