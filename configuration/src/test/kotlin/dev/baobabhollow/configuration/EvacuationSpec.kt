package dev.baobabhollow.configuration

import dev.baobabhollow.model.ConfigurationRecord
import dev.baobabhollow.model.ConfigurationState
import dev.baobabhollow.model.EvacuationRecord
import dev.baobabhollow.model.EvacuationSetRecord
import dev.baobabhollow.model.FailureDomainId
import dev.baobabhollow.model.MeshConfig
import dev.baobabhollow.model.ModelJson
import dev.baobabhollow.model.RouteConfig
import dev.baobabhollow.model.RouteId
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.shouldNotBe
import io.kotest.matchers.string.shouldNotContain
import io.kotest.matchers.types.shouldBeInstanceOf

private val A = FailureDomainId("a")
private val B = FailureDomainId("b")

private fun mesh(timeoutMillis: Long) =
    MeshConfig(
        routes =
            (1..10).associate {
                RouteId("r$it") to RouteConfig(vitrina, "/r$it/", timeoutMillis = if (it == 1) timeoutMillis else 1)
            },
    )

class EvacuationSpec :
    DescribeSpec({
        describe("the evacuated failure domains of a state") {
            it("follow the orders and their ends") {
                val log = LogBuilder().add(EvacuationRecord(A)).add(EvacuationRecord(B)).add(EvacuationRecord(A))
                log.state().evacuatedDomains shouldBe setOf(A, B)
                log.add(EvacuationRecord(A, isEvacuated = false)).state().evacuatedDomains shouldBe setOf(B)
                log.add(EvacuationSetRecord(setOf(A))).state().evacuatedDomains shouldBe setOf(A)
                log.state().offset shouldBe 4
            }

            // Guards against an order that a new configuration revokes.
            it("do not change with the configuration") {
                val log = LogBuilder().add(EvacuationRecord(A)).add(ConfigurationRecord(1, mesh(1)))
                log.state().evacuatedDomains shouldBe setOf(A)
            }

            // Guards against nodes with different orders that take their states for equal.
            it("are part of the content hash, whatever their order in the log") {
                val hashes =
                    listOf(listOf(A, B), listOf(B, A)).map { domains ->
                        contentHash(LogBuilder().apply { domains.forEach { add(EvacuationRecord(it)) } }.state())
                    }
                hashes[0] shouldBe hashes[1]
                contentHash(LogBuilder().add(EvacuationRecord(A)).state()) shouldNotBe
                    contentHash(LogBuilder().add(EvacuationRecord(B)).state())
            }

            // Guards against a changed encoding, and so a changed hash, in deployments that evacuate nothing.
            it("leave no trace in the encoded state while there are none") {
                ModelJson.encodeToString(ConfigurationState(offset = 3)) shouldNotContain "evacuated"
            }
        }

        describe("a node that lags") {
            fun replica(vararg states: ConfigurationRecord) =
                ConfigurationReplica().also { replica ->
                    val log = LogBuilder().apply { states.forEach { add(it) } }
                    replica.offer(RecordBatch(-1, log.entries))
                }

            it("receives orders with the changes of the configuration") {
                val behind = replica(ConfigurationRecord(1, mesh(1)))
                val log =
                    LogBuilder()
                        .add(ConfigurationRecord(1, mesh(1)))
                        .add(EvacuationRecord(A))
                        .add(ConfigurationRecord(2, mesh(2)))
                        .add(EvacuationRecord(B))
                val ahead = replica(ConfigurationRecord(1, mesh(1)))
                ahead.offer(RecordBatch(0, log.entries.drop(1)))
                behind.offer(ahead.deltaEncoded(ahead.recordsAfter(0)!!)).shouldBeInstanceOf<OfferResult.Applied>()
                behind.state shouldBe ahead.state
                behind.contentHash shouldBe ahead.contentHash
                behind.state.evacuatedDomains shouldBe setOf(A, B)
            }

            it("receives orders with a whole state") {
                val ahead = ConfigurationReplica(LogBuilder().add(EvacuationRecord(A)).state())
                val behind = ConfigurationReplica()
                behind.offer(ahead.transfer()).shouldBeInstanceOf<OfferResult.Applied>()
                behind.state.evacuatedDomains shouldBe setOf(A)
            }
        }
    })
