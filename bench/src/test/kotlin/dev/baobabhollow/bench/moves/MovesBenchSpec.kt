package dev.baobabhollow.bench.moves

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain

class MovesBenchSpec :
    DescribeSpec({
        describe("the moves bench") {
            val kinds = listOf(MoveKind.BAD_AT_ONCE)
            val options = MovesOptions(BenchMember.ENREDADERA, moves = 2, seed = 3, threads = 2, kinds = kinds)
            val report = runMovesBench(options)

            // Guards against a table header with fewer titles than columns, which makes rendering throw after the whole
            // run.
            it("renders its report") {
                renderMovesReport(report) shouldContain "bad at once"
                report.toJson() shouldContain "BAD_AT_ONCE"
            }

            // Guards against results that depend on the number of threads or on timing.
            it("produces the same results for the same seed") {
                runMovesBench(options.copy(threads = 1)).rows shouldBe report.rows
            }
        }
    })
