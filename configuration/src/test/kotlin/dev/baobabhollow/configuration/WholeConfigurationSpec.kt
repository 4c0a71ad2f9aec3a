package dev.baobabhollow.configuration

import dev.baobabhollow.model.ConfigurationRecord
import dev.baobabhollow.model.ConfigurationState
import dev.baobabhollow.model.LogEntry
import dev.baobabhollow.model.MemberConfig
import dev.baobabhollow.model.MeshConfig
import dev.baobabhollow.model.MoveOrderRecord
import dev.baobabhollow.model.UnreadableRecord
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import kotlin.random.Random

class WholeConfigurationSpec :
    DescribeSpec({
        fun mesh(name: String) = MeshConfig(members = mapOf(enredadera to MemberConfig(name)))

        describe("a log of whole configurations") {
            // Guards against a node that returns to an older version because it read that one later.
            it("keeps the highest version, whatever the increments") {
                val state =
                    LogBuilder()
                        .add(ConfigurationRecord(3, mesh("three")))
                        .add(ConfigurationRecord(9, mesh("nine")))
                        .add(ConfigurationRecord(7, mesh("seven")))
                        .add(UnreadableRecord("cut short"))
                        .state()
                state.version shouldBe 9
                state.mesh shouldBe mesh("nine")
                state.offset shouldBe 3
            }

            it("holds the newest order of each service") {
                val first =
                    LogBuilder()
                        .add(
                            ConfigurationRecord(1, mesh("one")),
                        ).add(MoveOrderRecord(vitrina, newRelease, 12))
                first
                    .state()
                    .orders
                    .getValue(vitrina)
                    .release shouldBe newRelease
                val move =
                    first
                        .state()
                        .orders
                        .getValue(vitrina)
                        .move
                val second =
                    first
                        .add(MoveOrderRecord(vitrina, oldRelease, 20))
                        .state()
                        .orders
                        .getValue(vitrina)
                second.release shouldBe oldRelease
                (second.move == move) shouldBe false
            }

            // Guards against divergence between a node that read all records and one that read only the newest of each
            // key.
            it("leads to the same state as the newest record of each key") {
                repeat(50) { seed ->
                    val random = Random(seed)
                    val builder = LogBuilder().add(ConfigurationRecord(1, mesh("0")))
                    repeat(20) {
                        when (random.nextInt(3)) {
                            0 -> builder.add(ConfigurationRecord(it + 2L, mesh("$it")))
                            1 -> builder.add(MoveOrderRecord(vitrina, newRelease, it.toLong()))
                            else -> builder.add(MoveOrderRecord(vitrina, oldRelease, it.toLong()))
                        }
                    }
                    val newest =
                        builder.entries
                            .groupBy(::keyOf)
                            .map { it.value.last() }
                            .sortedBy { it.offset }
                    val compacted = newest.fold(ConfigurationState.INITIAL, ::fold)
                    contentHash(compacted) shouldBe contentHash(builder.state())
                }
            }
        }
    })

private fun keyOf(entry: LogEntry): String =
    when (val body = entry.record.body) {
        is MoveOrderRecord -> "order ${body.service}"
        else -> "configuration"
    }
