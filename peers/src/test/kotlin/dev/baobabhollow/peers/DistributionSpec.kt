package dev.baobabhollow.peers

import dev.baobabhollow.model.FailureDomainId
import dev.baobabhollow.model.NodeId
import dev.baobabhollow.model.NodeStatus
import io.kotest.assertions.nondeterministic.eventually
import io.kotest.assertions.withClue
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.doubles.shouldBeLessThanOrEqual
import io.kotest.matchers.ints.shouldBeLessThan
import io.kotest.matchers.shouldBe
import kotlin.time.Duration.Companion.seconds

class DistributionSpec :
    DescribeSpec({
        describe("control planes of three failure domains") {
            val names = arrayOf("a-1", "a-2", "a-3", "b-1", "b-2", "b-3", "c-1", "c-2", "c-3")
            val fleet = TestFleet()
            fleet.reserve(*names)
            fleet.startAll()
            afterSpec { fleet.close() }

            it("become ready on an empty log and see one another") {
                fleet.awaitAll {
                    it.plane.isReady && it.plane.view
                        .live()
                        .size == names.size
                }
            }

            // Guards against records that only reach the log readers.
            it("all reach a new version") {
                fleet.publish(0)
                fleet.awaitAll(5) { it.plane.state.version == 1L }
            }

            // Guards against a domain that depends on its own connection to the platform.
            it("bring a version to a domain that is cut off from the platform") {
                fleet.cutFromLog += FailureDomainId("c")
                fleet.publish(1)
                fleet.awaitAll(5) { it.plane.state.version == 2L }
                fleet.cutFromLog.clear()
            }

            // Guards against a domain that stays behind after a partition, and against entries lost during it.
            it("bring a domain up to date after it was isolated") {
                fleet.cutFromLog += FailureDomainId("b")
                fleet.cutFromPeers += FailureDomainId("b")
                fleet.publish(2)
                fleet.awaitAll(5) { it.plane.state.version == if (it.record.failureDomain.value == "b") 2L else 3L }
                val view =
                    fleet.nodes
                        .getValue(NodeId("a-1"))
                        .plane.view
                withClue({ "a-1 knows ${view.nodes.values.map { "${it.node} ${it.status} ${it.incarnation}" }}" }) {
                    view.liveIn(FailureDomainId("b")).size shouldBe 3
                }
                fleet.cutFromPeers.clear()
                fleet.awaitAll(5) { it.plane.state.version == 3L }
                fleet.cutFromLog.clear()
            }

            // Guards against a restart that needs the platform log, and against a node that forgets its incarnation.
            it("restore a restarted node from its neighbours while the log is down") {
                fleet.log.isDown = true
                fleet.stop("a-1")
                val restarted = fleet.start("a-1", incarnation = 2)
                eventually(5.seconds) {
                    restarted.plane.isReady shouldBe true
                    restarted.plane.state.version shouldBe 3
                }
                fleet.log.isDown = false
            }

            // Guards against nodes that send calls to a node that is about to stop.
            it("learn that a node is leaving") {
                fleet.nodes
                    .getValue(NodeId("c-3"))
                    .plane
                    .leave(System.currentTimeMillis() + 3_000) shouldBe true
                fleet.awaitAll(3) {
                    it.plane.view.nodes[NodeId("c-3")]
                        ?.status == NodeStatus.LEAVING
                }
            }

            // Guards against log reads that grow with the number of nodes: two long polls per domain, not one per node.
            it("read the log from only two nodes of each domain") {
                val before = fleet.log.reads.get()
                fleet.publish(3)
                fleet.awaitAll(5) { it.plane.state.version == 4L }
                fleet.log.reads.get() - before shouldBeLessThan 6 * 4
            }

            it("never return to an earlier version") {
                fleet.nodes.values.forEach { it.versions.toList() shouldBe it.versions.sorted() }
            }
        }

        // Guards against a mass restart that needs the log, or that overloads the few nodes that still have a state.
        describe("a failure domain that restarts empty while the log is down") {
            it("receives the state from the only other node, within its rate limit") {
                TestFleet(settings = TestFleet.SETTINGS.copy(transfersPerSecond = 1)).use { fleet ->
                    fleet.reserve("a-1", "b-1", "b-2", "b-3", "b-4", "b-5")
                    repeat(100) { fleet.publish(it.toLong()) }
                    val survivor = fleet.start("a-1")
                    eventually(10.seconds) { survivor.plane.isReady shouldBe true }
                    fleet.log.isDown = true
                    val startNanos = System.nanoTime()
                    (1..5).forEach { fleet.start("b-$it", incarnation = 2) }
                    fleet.awaitAll { it.plane.isReady && it.plane.state.version == 100L }
                    val seconds = (System.nanoTime() - startNanos) / 1e9
                    val served = fleet.nodes.values.maxOf { it.count("baobabhollow_control_transfers", "state") }
                    served shouldBeLessThanOrEqual seconds + 1
                }
            }
        }

        // Guards against a node that takes calls with an old version while it is still reading the log.
        describe("a node that reads a long log in small batches") {
            it("is not ready before it has reached the end") {
                TestFleet(settings = TestFleet.SETTINGS.copy(maxReadRecords = 7)).use { fleet ->
                    fleet.reserve("a-1")
                    repeat(200) { fleet.publish(it.toLong()) }
                    val node = fleet.start("a-1")
                    eventually(10.seconds) { node.firstReadyVersion shouldBe 200 }
                }
            }

            // Guards against calls that are routed by a version that a newer one in the log has replaced.
            it("publishes no version before the last one") {
                TestFleet(settings = TestFleet.SETTINGS.copy(maxReadRecords = 7)).use { fleet ->
                    fleet.reserve("a-1")
                    repeat(200) { fleet.publish(it.toLong()) }
                    val node = fleet.start("a-1")
                    eventually(10.seconds) { node.plane.isReady shouldBe true }
                    node.versions.filter { it > 0 }.distinct() shouldBe listOf(200L)
                }
            }
        }

        // Guards against a node that takes calls with an empty configuration.
        describe("a node without neighbours while the log is down") {
            it("is not ready, gives the reason, and recovers once the log is up") {
                TestFleet().use { fleet ->
                    fleet.reserve("a-1", "a-2")
                    fleet.log.isDown = true
                    fleet.publish(0)
                    val node = fleet.start("a-1")
                    eventually(5.seconds) {
                        node.plane.readiness.lacking
                            .last()
                            .contains("down") shouldBe true
                    }
                    node.plane.isReady shouldBe false
                    fleet.log.isDown = false
                    eventually(10.seconds) { node.plane.isReady shouldBe true }
                    node.plane.state.version shouldBe 1
                }
            }
        }
    })
