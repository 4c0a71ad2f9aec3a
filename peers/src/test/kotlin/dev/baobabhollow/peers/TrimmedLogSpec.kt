package dev.baobabhollow.peers

import dev.baobabhollow.configuration.contentHash
import dev.baobabhollow.configuration.fold
import dev.baobabhollow.model.ConfigurationState
import dev.baobabhollow.model.FailureDomainId
import dev.baobabhollow.model.LogRecord
import dev.baobabhollow.model.NodeId
import dev.baobabhollow.model.SnapshotRecord
import dev.baobabhollow.model.WriterId
import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import kotlin.time.Duration.Companion.seconds

class TrimmedLogSpec :
    DescribeSpec({
        fun snapshotOf(fleet: TestFleet): LogRecord {
            val state = fleet.log.records().fold(ConfigurationState.INITIAL, ::fold)
            return LogRecord(WriterId("snap"), 1, SnapshotRecord(state.offset, contentHash(state), state))
        }

        describe("a node that starts without a state on a trimmed log") {
            // Guards against a partial state without the effects of expired records.
            it("is not ready without a snapshot and rebuilds the full state from one") {
                TestFleet().use { fleet ->
                    fleet.reserve("a-1")
                    repeat(4) { fleet.publish(it.toLong()) }
                    fleet.log.trim(2)
                    val node = fleet.start("a-1")
                    eventually(8.seconds) { node.count("baobabhollow_control_log_calls", "ok") > 2 }
                    node.plane.isReady shouldBe false
                    node.plane.state shouldBe ConfigurationState.INITIAL
                    fleet.log.append(snapshotOf(fleet))
                    fleet.publish(4)
                    eventually(15.seconds) { node.plane.state.version shouldBe 5 }
                    node.plane.isReady shouldBe true
                    node.plane.state.mesh.members.size shouldBe 5
                }
            }
        }

        describe("a domain that was cut off while the log was trimmed") {
            // Guards against readers that wait forever for records that the log no longer holds.
            it("receives the full state from its peers") {
                TestFleet().use { fleet ->
                    val cut = FailureDomainId("b")
                    fleet.reserve("a-1", "a-2", "b-1", "b-2")
                    fleet.startAll()
                    fleet.awaitAll {
                        it.plane.isReady && it.plane.view
                            .live()
                            .size == 4
                    }
                    fleet.cutFromLog += cut
                    fleet.cutFromPeers += cut
                    repeat(3) { fleet.publish(it.toLong()) }
                    fleet.awaitAll { it.record.failureDomain == cut || it.plane.state.version == 3L }
                    fleet.log.trim(3)
                    fleet.cutFromPeers.clear()
                    fleet.cutFromLog.clear()
                    fleet.awaitAll { it.plane.state.version == 3L }
                    fleet.nodes
                        .getValue(NodeId("b-1"))
                        .versions
                        .toList()
                        .let { it shouldBe it.sorted() }
                }
            }
        }
    })
