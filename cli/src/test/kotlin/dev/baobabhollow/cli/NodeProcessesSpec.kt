package dev.baobabhollow.cli

import com.github.michaelbull.result.get
import dev.baobabhollow.cli.demo.CallResult
import dev.baobabhollow.cli.demo.DemoFleet
import dev.baobabhollow.cli.demo.DemoNode
import dev.baobabhollow.cli.demo.LoadGenerator
import dev.baobabhollow.cli.demo.LoadRoute
import dev.baobabhollow.cli.demo.NodePlan
import dev.baobabhollow.model.Change
import dev.baobabhollow.model.Endpoint
import dev.baobabhollow.model.MemberConfig
import dev.baobabhollow.model.MemberId
import dev.baobabhollow.model.NodeStatus
import dev.baobabhollow.model.Patch
import dev.baobabhollow.model.PatchResult
import dev.baobabhollow.model.ReleaseId
import dev.baobabhollow.model.RouteConfig
import dev.baobabhollow.model.RouteId
import dev.baobabhollow.model.ServiceConfig
import dev.baobabhollow.model.ServiceId
import dev.baobabhollow.platformlog.HttpPlatformLog
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldBeIn
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import java.net.Socket
import java.nio.file.Files
import java.util.concurrent.TimeUnit

private const val DEADLINE_MILLIS = 60_000L

private val PATCH =
    Patch(
        listOf(
            Change.PutMember(MemberId("m"), MemberConfig("M")),
            Change.PutService(ServiceId("s"), ServiceConfig(MemberId("m"), setOf(ReleaseId("1")), ReleaseId("1"))),
            Change.PutRoute(RouteId("r"), RouteConfig(ServiceId("s"), "/s")),
        ),
    )

private fun awaitUntil(
    what: String,
    pauseMillis: Long = 50,
    isTrue: () -> Boolean,
) {
    val deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(DEADLINE_MILLIS)
    while (!isTrue()) {
        check(System.nanoTime() < deadlineNanos) { "not within $DEADLINE_MILLIS ms: $what" }
        Thread.sleep(pauseMillis)
    }
}

class NodeProcessesSpec :
    DescribeSpec({
        describe("three nodes as processes") {
            it("publish a patch, survive the crash of one and let calls finish at a planned stop") {
                val directory = Files.createTempDirectory("baobabhollow-test").toFile()
                val operators = OperatorClient()
                ChildProcesses(directory).use { children ->
                    val fleet = DemoFleet(children, directory, emptyMap(), serviceMillis = 1_500.0)
                    val log = fleet.startLog()
                    val nodes = fleet.startNodes(listOf("n1", "n2", "n3").map { NodePlan(it, "a", "s", "1") }, log)
                    val (first, second, third) = nodes
                    awaitUntil("all nodes know each other") {
                        nodes.all { operators.status(it.operator).get()?.liveNodes == nodes.size }
                    }

                    HttpPlatformLog(log).use { client ->
                        val deadline = System.currentTimeMillis() + DEADLINE_MILLIS
                        val outcome = Publisher(client, operators, first.operator).publish(0, PATCH, "ana", deadline)
                        val result = outcome.shouldBeInstanceOf<PublishOutcome.Judged>().verdict.result
                        result shouldBe PatchResult.Accepted(1)
                        InForceWait(operators, first.operator)
                            .await(1, deadline)
                            .missing.keys
                            .shouldBeEmpty()
                    }

                    // Guards against SIGHUP ending the node, which is the JVM's default, instead of reloading the
                    // settings.
                    sendSighup(first)
                    awaitUntil("the node has read its settings again") {
                        directory.walk().any { it.isFile && "settings_reloaded" in it.readText() }
                    }
                    first.child.process.isAlive shouldBe true

                    third.child.process.destroyForcibly()
                    awaitUntil("the others declare the killed node dead") {
                        listOf(first, second).all { statusOf(operators, it, third) == NodeStatus.DEAD }
                    }

                    val load =
                        LoadGenerator(
                            listOf(first, second).map { it.settings.addresses.callers },
                            listOf(LoadRoute("/s/x", "s", 100)),
                            callsPerSecond = 6,
                        )
                    load.start()
                    awaitUntil("calls are served") { load.records.count { it.result == CallResult.SERVED } >= 10 }
                    load.entries = listOf(first.settings.addresses.callers)
                    second.child.process.destroy()
                    second.child.process.waitFor(DEADLINE_MILLIS, TimeUnit.MILLISECONDS) shouldBe true
                    second.child.process.exitValue() shouldBe EXIT_DONE
                    val served = load.records.count { it.result == CallResult.SERVED }
                    awaitUntil("calls are served after the stop") {
                        load.records.count { it.result == CallResult.SERVED } > served + 10
                    }
                    load.stop()

                    statusOf(operators, first, second) shouldBeIn listOf(NodeStatus.LEAVING, NodeStatus.DEAD)
                    load.records.filter { it.result !in setOf(CallResult.SERVED, CallResult.NOT_RUN) }.shouldBeEmpty()
                    load.records.count { it.result == CallResult.SERVED } shouldBeGreaterThan 20
                }
                directory.deleteRecursively()
            }
        }

        describe("a node as a process") {
            // Guards against a node that SIGHUP ends, which is the JVM's default, because it has not started yet.
            it("survives SIGHUP while it starts") {
                val directory = Files.createTempDirectory("baobabhollow-test").toFile()
                ChildProcesses(directory).use { children ->
                    val fleet = DemoFleet(children, directory, emptyMap())
                    val node = fleet.startNodes(listOf(NodePlan("n1", "a", "s", "1")), fleet.startLog()).first()
                    // The operators' port is the first part of a node to be started.
                    awaitUntil("the operators' port is open", pauseMillis = 1) { isOpen(node.operator) }
                    sendSighup(node)
                    awaitUntil("the node has started") {
                        directory.walk().any { it.isFile && "node_started" in it.readText() }
                    }
                    node.child.process.isAlive shouldBe true
                }
                directory.deleteRecursively()
            }
        }
    })

private fun isOpen(endpoint: Endpoint) = runCatching { Socket(endpoint.host, endpoint.port).close() }.isSuccess

private fun sendSighup(node: DemoNode) {
    val pid = node.child.process.pid()
    ProcessBuilder("kill", "-HUP", pid.toString()).inheritIO().start().waitFor() shouldBe 0
}

private fun statusOf(
    operators: OperatorClient,
    asked: DemoNode,
    about: DemoNode,
): NodeStatus? =
    operators
        .nodes(asked.operator)
        .get()
        ?.nodes
        ?.firstOrNull { it.node == about.settings.node }
        ?.status
