package dev.baobabhollow.configuration.check

import dev.baobabhollow.configuration.RecordBatch
import dev.baobabhollow.configuration.fold
import dev.baobabhollow.configuration.moveId
import dev.baobabhollow.model.ConfigurationState
import dev.baobabhollow.model.LogEntry
import dev.baobabhollow.model.MoveId
import dev.baobabhollow.model.MovePhase
import dev.baobabhollow.model.MoveStageRecord
import dev.baobabhollow.model.PatchRecord
import dev.baobabhollow.model.RecordBody
import dev.baobabhollow.model.orderPosition
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.nulls.shouldBeNull
import io.kotest.matchers.shouldBe

class ConfigurationProtocolSpec :
    DescribeSpec({
        describe("the configuration protocol, explored exhaustively within bounds") {
            fun check(bounds: Bounds) {
                val result = explore(ConfigurationProtocol(bounds))
                println("$bounds: ${result.states} states, ${result.transitions} transitions")
                result.violation.shouldBeNull()
                result.isComplete shouldBe true
            }

            it("keeps every invariant across a restart, expiry, a snapshot and a race") {
                check(Bounds(proposals = 1))
            }

            it("keeps every invariant when two nodes propose stages of a move and one of them is paused") {
                check(Bounds(proposals = 2, snapshots = 0, restarts = 0))
            }
        }

        describe("a log that returns from an older copy, explored exhaustively within bounds") {
            fun explored(
                losses: Int,
                restarts: Int,
                rules: StoreEraRules = StoreEraRules(),
                toWrite: List<RecordBody> = listOf(configuration(2), order(2), order(3)),
            ): Exploration<StoreEraState> {
                val written = listOf(configuration(1), order(1))
                return explore(StoreEraProtocol(written, toWrite, losses, restarts, rules))
            }

            fun check(result: Exploration<StoreEraState>) {
                println("${result.states} states, ${result.transitions} transitions")
                result.violation?.let { it.invariant to it.trace }.shouldBeNull()
                result.isComplete shouldBe true
            }

            it("keeps every invariant when two suffixes are lost") {
                check(explored(losses = 2, restarts = 0, toWrite = listOf(order(2))))
            }

            it("keeps every invariant when a suffix is lost and a replica restarts") {
                check(explored(losses = 1, restarts = 1))
            }

            // Holds only while no replica has missed an order: one that has takes the order that it missed for a new one.
            it("returns to no replaced order when the log loses one order") {
                val orders = listOf(configuration(2), order(2))
                check(explored(losses = 1, restarts = 0, StoreEraRules(returnsToNoOrder = true), orders))
            }

            // Guards against replicas that permanently ignore what is written at offsets that they have seen.
            it("breaks an invariant when the era is dropped") {
                val rules = StoreEraRules(eraOfBatch = { 0 })
                explored(1, 0, rules).violation?.invariant shouldBe "a replica at the end holds the newest records"
            }

            it("breaks an invariant when identifiers of moves lack the era") {
                val rules = StoreEraRules(afterRead = ::withoutErasOfMoves)
                explored(1, 0, rules).violation?.invariant shouldBe "an identifier stands for one order"
            }

            it("breaks an invariant when a replica takes a state without keeping what it holds") {
                val rules = StoreEraRules(merges = false)
                explored(1, 0, rules).violation?.invariant shouldBe "no replica goes back"
            }
        }

        describe("an invariant fails when its rule is broken:") {
            fun violated(rules: Rules) = explore(ConfigurationProtocol(Bounds(), rules)).violation?.invariant

            it("duplicates take effect when the fold forgets writers") {
                val ignoringWriters = {
                    state: ConfigurationState,
                    entry: LogEntry,
                    ->
                    fold(state.copy(writers = emptyMap()), entry)
                }
                violated(Rules(fold = ignoringWriters)) shouldBe "a repeated append counts once"
            }

            it("two patches win when the fold ignores the base version") {
                val ignoringBaseVersion = {
                    state: ConfigurationState,
                    entry: LogEntry,
                    ->
                    fold(withBaseVersionOf(state, entry), entry)
                }
                violated(Rules(fold = ignoringBaseVersion)) shouldBe "one patch wins against each base version"
            }

            it("a move reopens when a late stage overrides a take-back") {
                val reopening = { state: ConfigurationState, entry: LogEntry -> fold(reopen(state, entry), entry) }
                violated(Rules(fold = reopening)) shouldBe "a finished move stays finished"
            }

            it("replicas disagree when a batch with a gap is applied") {
                val ignoringGaps = { replica: ConfigurationState?, batch: RecordBatch ->
                    batch.copy(afterOffset = replica?.offset ?: batch.afterOffset)
                }
                violated(Rules(batchAfter = ignoringGaps)) shouldBe "replicas agree with the log"
            }

            it("replicas disagree when a reader treats a trimmed log as complete") {
                violated(Rules(searchStart = { 0 })) shouldBe "replicas agree with the log"
            }

            it("a replica goes back when it accepts older states") {
                violated(Rules(skipsTransferChecks = { _, _ -> true })) shouldBe "no replica goes back"
            }
        }
    })

private fun withoutErasOfMoves(state: ConfigurationState) =
    state.copy(
        orders =
            state.orders.mapValues { (service, order) ->
                val offset = order.move.orderPosition?.offset
                order.copy(move = MoveId("$service/$offset"))
            },
    )

private fun withBaseVersionOf(
    state: ConfigurationState,
    entry: LogEntry,
): ConfigurationState {
    val body = entry.record.body as? PatchRecord ?: return state
    return state.copy(version = body.baseVersion)
}

private fun reopen(
    state: ConfigurationState,
    entry: LogEntry,
): ConfigurationState {
    val follows = (entry.record.body as? MoveStageRecord)?.follows ?: return state
    val move = state.moves[moveId] ?: return state
    if (move.phase != MovePhase.TAKEN_BACK) return state
    return state.copy(moves = state.moves + (moveId to move.copy(phase = MovePhase.RAMPING, stage = follows)))
}
