package dev.baobabhollow.moves

import dev.baobabhollow.model.FailureDomainId
import dev.baobabhollow.model.MovePriority
import dev.baobabhollow.model.RouteId
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import java.util.Random

private const val MOVES = 400
private const val WINDOWS = 150
private const val RATE = 0.05

/** Returns whether a fault is found in windows of two releases with the error shares [old] and [new]. */
private fun isTakenBack(
    seed: Long,
    old: Double,
    new: Double,
): Boolean {
    val random = Random(seed)
    val policy = MovePolicy.of(MovePriority.TAKE_BACK).copy(falseAlarmRate = RATE, errorOddsTolerance = 1.0)
    val evidence = FaultEvidence(policy, emptyMap())
    val cells =
        (0 until 3).flatMap { route ->
            (0 until 3).map { CellKey(RouteId("r$route"), FailureDomainId("d$it")) }
        }
    return (0 until WINDOWS).any { window ->
        evidence.investUntil(window.toDouble() / WINDOWS)
        cells.forEach { cell ->
            // The share of errors varies over time for both releases alike, which must not count as a fault.
            val swing = if (window % 20 < 10) 1.0 else 3.0
            evidence.comparePaired(cell, randomCounts(random, 10, new * swing), randomCounts(random, 20, old * swing))
        }
        evidence.assess().fault != null
    }
}

private fun randomCounts(
    random: Random,
    calls: Int,
    share: Double,
) = OutcomeCounts(calls.toLong(), (0 until calls).count { random.nextDouble() < share }.toLong())

class FaultEvidenceSpec :
    DescribeSpec({
        describe("the evidence of many moves") {
            // Guards against a test that is not valid at every stopping time. With a rate of at most 0.05, more than 36
            // of 400 moves are taken back with a probability below 0.0005 (binomial tail).
            it("takes back no more equal releases than the false alarm rate allows") {
                (1L..MOVES).count { isTakenBack(it, old = 0.05, new = 0.05) } shouldBeLessThanOrEqual 36
            }

            it("takes back releases with five times the errors") {
                (1L..50L).count { isTakenBack(it, old = 0.02, new = 0.1) } shouldBeGreaterThan 48
            }
        }
    })
