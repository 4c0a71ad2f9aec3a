package dev.baobabhollow.cli

import dev.baobabhollow.cli.demo.CallRecord
import dev.baobabhollow.cli.demo.CallResult
import dev.baobabhollow.cli.demo.LoadRoute
import dev.baobabhollow.cli.faults.PromiseBroken
import dev.baobabhollow.cli.faults.Soak
import dev.baobabhollow.cli.faults.SoakFault
import dev.baobabhollow.cli.faults.WATCHED_NODES
import dev.baobabhollow.cli.faults.soakPlan
import dev.baobabhollow.cli.faults.verifyCalls
import io.kotest.assertions.throwables.shouldThrow
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldContainAll
import io.kotest.matchers.collections.shouldNotBeEmpty
import io.kotest.matchers.shouldBe
import java.nio.file.Files

private const val SPAN_MILLIS = 60_000L
private const val NODES = 6

/** Seed of the short run. Add each seed that fails here, with a line on its cause. */
private const val SHORT_SEED = 2L
private const val SHORT_MILLIS = 6_000L

class SoakSpec :
    DescribeSpec({
        describe("the faults of a soak") {
            it("are the same for the same seed, and overlap") {
                soakPlan(7, SPAN_MILLIS, NODES) shouldBe soakPlan(7, SPAN_MILLIS, NODES)
                val plan = soakPlan(7, SPAN_MILLIS, NODES)
                plan
                    .filter { step ->
                        plan.any { it !== step && it.startMillis in step.startMillis..step.endMillis }
                    }.shouldNotBeEmpty()
            }

            it("hold every kind within a few seeds") {
                (1L..5L).flatMap { soakPlan(it, SPAN_MILLIS, NODES) }.map { it.fault }.toSet() shouldContainAll
                    SoakFault.entries
            }

            // Guards against signals to a process that another fault has ended, and against unobserved decreases of a
            // version.
            it("restart none of the watched nodes, and hit no node twice at a time") {
                (1L..50L).forEach { seed ->
                    val plan = soakPlan(seed, SPAN_MILLIS, NODES)
                    plan.filter { it.fault.restarts }.none { it.node < WATCHED_NODES } shouldBe true
                    plan.filter { it.fault.hitsNode }.groupBy { it.node }.values.forEach { steps ->
                        steps.zipWithNext().all { (first, second) -> first.endMillis < second.startMillis } shouldBe
                            true
                    }
                }
            }
        }

        describe("the checks of a soak") {
            val once = LoadRoute("/once/plain", "s", 100, isAtMostOnce = true)
            val record = { id: String, result: CallResult -> CallRecord(id, once, 0, 1, result, null) }
            val served = record("a", CallResult.SERVED)

            // Guards against checks that always pass.
            it("fail when a refused call ran, a call ran twice, a response was for another call, or none was served") {
                verifyCalls(listOf(served), mapOf("a" to 1)) shouldBe "1 of 1 calls served"
                shouldThrow<PromiseBroken> {
                    verifyCalls(listOf(served, record("b", CallResult.NOT_RUN)), mapOf("b" to 1))
                }
                shouldThrow<PromiseBroken> { verifyCalls(listOf(served), mapOf("a" to 2)) }
                shouldThrow<PromiseBroken> { verifyCalls(listOf(served, record("b", CallResult.WRONG)), emptyMap()) }
                shouldThrow<PromiseBroken> { verifyCalls(listOf(record("a", CallResult.UNKNOWN)), emptyMap()) }
            }
        }

        describe("processes under random faults") {
            it("keep the promises in a short run") {
                val directory = Files.createTempDirectory("baobabhollow-soak").toFile()
                val result = ChildProcesses(directory).use { Soak(it, directory) { }.run(SHORT_SEED, SHORT_MILLIS) }
                result.isHeld to result.observed shouldBe (true to result.observed)
                directory.deleteRecursively()
            }
        }
    })
