package dev.baobabhollow.membership

import dev.baobabhollow.model.NodeId
import dev.baobabhollow.model.TargetStatus
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.ints.shouldBeInRange
import io.kotest.matchers.longs.shouldBeLessThan
import io.kotest.matchers.shouldBe
import io.kotest.matchers.shouldNotBe

private const val RESTART_MILLIS = 800L
private const val NEXT_INCARNATION = 1_000_000L

/** Fleet in which the node a-1 withdraws its target and is killed [aliveMillis] later. */
private fun fleetAfterKill(
    seed: Long,
    aliveMillis: Long,
    lossPercent: Int = 0,
): VirtualFleet {
    val fleet = VirtualFleet(seed)
    fleet.addDomain("a", 6)
    fleet.addDomain("b", 6, seeds = listOf("a-0"))
    fleet.runUntil(30_000) { fleet.isComplete() } shouldBeLessThan 30_000
    fleet.lossPercent = lossPercent
    val node = fleet["a-1"]
    node.membership.announce { it.copy(target = it.target?.copy(status = TargetStatus.DRAINING, instance = "i-1")) }
    fleet.sendNow(node)
    fleet.runUntil(aliveMillis)
    node.isRunning = false
    fleet.runUntil(RESTART_MILLIS)
    return fleet
}

class WithdrawalMemorySpec :
    DescribeSpec({
        // Guards against a restarted node that uses the target whose leave or drain its earlier process has acknowledged,
        // since nothing on its VM remembers it.
        describe("a node that is killed after it has withdrawn its target") {
            listOf(0L, 4L, 100L, 2_000L).forEach { aliveMillis ->
                it("is told so after its restart, $aliveMillis ms after the withdrawal was sent") {
                    for (seed in 1L..10L) {
                        val fleet = fleetAfterKill(seed, aliveMillis, lossPercent = 5)
                        val restarted =
                            fleet.add("a-1", NEXT_INCARNATION, seeds = listOf("a-0", "b-3"), hasTarget = false)
                        val took = fleet.runUntil(5_000) { restarted.membership.takeEarlierWithdrawal() != null }
                        took shouldBeLessThan 1_500
                    }
                }
            }

            it("is told so although it has announced the target again") {
                val fleet = fleetAfterKill(1, 100)
                fleet.lossPercent = 100
                val restarted = fleet.add("a-1", NEXT_INCARNATION, seeds = listOf("a-0"))
                restarted.membership.announce { it.copy(target = it.target?.copy(instance = "i-1")) }
                fleet.lossPercent = 0
                fleet.sendNow(restarted)
                fleet.runUntil(
                    3_000,
                ) { restarted.membership.takeEarlierWithdrawal()?.instance == "i-1" } shouldBeLessThan
                    3_000
            }

            it("is told so if its clock was set back meanwhile") {
                val fleet = fleetAfterKill(2, 100)
                val restarted = fleet.add("a-1", incarnation = 0, seeds = listOf("a-0"), hasTarget = false)
                fleet.runUntil(3_000) { restarted.membership.takeEarlierWithdrawal() != null } shouldBeLessThan 3_000
            }

            it("is no longer told so once it has said so itself or has another target") {
                for (next in listOf(TargetStatus.DRAINING to "i-1", TargetStatus.SERVING to "i-2")) {
                    val fleet = fleetAfterKill(3, 100)
                    val restarted = fleet.add("a-1", NEXT_INCARNATION, seeds = listOf("a-0"))
                    val (status, instance) = next
                    restarted.membership.announce {
                        it.copy(target = it.target?.copy(status = status, instance = instance))
                    }
                    fleet.runUntil(5_000)
                    restarted.membership.takeEarlierWithdrawal()
                    fleet.runUntil(10_000)
                    restarted.membership.takeEarlierWithdrawal() shouldBe null
                }
            }
        }

        // Guards against reminders that go on forever to a node whose target has started again under the same name.
        it("stops reminding a node that keeps its target") {
            val fleet = fleetAfterKill(4, 100)
            val restarted = fleet.add("a-1", NEXT_INCARNATION, seeds = listOf("a-0"))
            restarted.membership.announce { it.copy(target = it.target?.copy(instance = "i-1")) }
            var reminders = 0
            fleet.onSend = { _, outgoing ->
                val records = outgoing.message.updates.filter { it.node == NodeId("a-1") }
                val isReminder = records.any { it.incarnation < NEXT_INCARNATION }
                if (outgoing.to == restarted.record.controlEndpoint && isReminder) reminders++
                true
            }
            fleet.runUntil(600_000)
            // Four of each other node.
            reminders shouldBeInRange 1..44
        }

        it("does not tell a node about withdrawals of its own process") {
            val fleet = fleetAfterKill(5, 100)
            val restarted = fleet.add("a-1", NEXT_INCARNATION, seeds = listOf("a-0"), hasTarget = false)
            fleet.runUntil(3_000)
            restarted.membership.takeEarlierWithdrawal() shouldNotBe null
            val target = fleet["b-1"].record.target!!.copy(instance = "i-3")
            restarted.membership.announce { it.copy(target = target.copy(status = TargetStatus.DRAINING)) }
            fleet.runUntil(3_000)
            restarted.membership.announce { it.copy(target = target) }
            fleet.runUntil(10_000) { restarted.membership.takeEarlierWithdrawal()?.instance == "i-3" } shouldBe 10_000
        }
    })
