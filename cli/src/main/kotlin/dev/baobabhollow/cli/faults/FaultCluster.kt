package dev.baobabhollow.cli.faults

import com.github.michaelbull.result.get
import dev.baobabhollow.cli.ChildProcesses
import dev.baobabhollow.cli.OperatorClient
import dev.baobabhollow.cli.demo.DemoFleet
import dev.baobabhollow.cli.demo.DemoNode
import dev.baobabhollow.cli.demo.NodePlan
import dev.baobabhollow.cli.fail
import dev.baobabhollow.model.Endpoint
import dev.baobabhollow.node.StatusDocument
import java.io.File
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import java.time.Duration
import java.util.concurrent.TimeUnit

internal const val HEALTHY_DOMAIN = "a"
internal const val FAULTY_DOMAIN = "b"
private const val POLL_MILLIS = 100L

/**
 * Runs two failure domains with three nodes each, as processes on loopback. Faults are injected into domain b, whose
 * nodes reach the platform log through a relay of their own.
 */
internal class FaultCluster(
    private val children: ChildProcesses,
    directory: File,
) : AutoCloseable {
    private val fleet = DemoFleet(children, directory, emptyMap(), faultInjection = true)
    private val http = HttpClient.newBuilder().connectTimeout(Duration.ofSeconds(2)).build()
    private val plans =
        listOf(HEALTHY_DOMAIN, FAULTY_DOMAIN).flatMap { domain ->
            listOf("1", "2", "3").map { NodePlan("$domain$it", domain, "s", if (it == "3") "2" else "1") }
        }
    val operators = OperatorClient(timeoutMillis = 1_500)
    val log: Endpoint = fleet.startLog()
    val relay = LogRelay(log)
    private val running = fleet.startNodes(plans, ::logOf).toMutableList()

    /** All nodes that are expected to run. */
    val nodes: List<DemoNode> get() = running

    /** Nodes of the domain without injected faults. */
    val healthy: List<DemoNode> get() = running.filter { it.domain == HEALTHY_DOMAIN }

    /** Nodes of the domain into which faults are injected. */
    val faulty: List<DemoNode> get() = running.filter { it.domain == FAULTY_DOMAIN }

    /** The node into which single-node faults are injected. */
    val victim: DemoNode get() = running.first { it.settings.node.value == "b2" }

    /** Starts another node in domain b, whose target has release "1". */
    fun join(name: String): DemoNode {
        val seeds = listOf(faulty.first(), healthy.first()).map { it.settings.addresses.control }
        val plan = NodePlan(name, FAULTY_DOMAIN, "s", "1")
        return fleet.startNodes(listOf(plan), ::logOf, seeds).single().also { running += it }
    }

    /**
     * Stops [node] with SIGTERM, removes it from [nodes] and returns its exit code, or null if it does not exit in
     * time.
     */
    fun leave(node: DemoNode): Int? {
        running -= node
        node.child.process.destroy()
        val ended = node.child.process.waitFor(LEAVE_SECONDS, TimeUnit.SECONDS)
        return if (ended) node.child.process.exitValue() else null
    }

    fun kill(node: DemoNode) {
        node.child.process
            .destroyForcibly()
            .waitFor()
    }

    fun restart(node: DemoNode) {
        running[running.indexOf(node)] = fleet.restart(node)
    }

    /** Sends [signal] to the process of [node]. */
    fun signal(
        node: DemoNode,
        signal: String,
    ) {
        val command =
            listOf(
                "kill",
                "-$signal",
                node.child.process
                    .pid()
                    .toString(),
            )
        val exit = ProcessBuilder(command).start().waitFor()
        if (exit != 0) fail("kill -$signal ended with $exit")
    }

    /** Posts [body] to [path] of a stand-in or node and fails if the status is not 200. */
    fun post(
        endpoint: Endpoint,
        path: String,
        body: String,
    ) {
        val request =
            HttpRequest
                .newBuilder(URI("http://$endpoint$path"))
                .timeout(INJECTION_TIMEOUT)
                .POST(HttpRequest.BodyPublishers.ofString(body))
                .build()
        val response = http.send(request, HttpResponse.BodyHandlers.ofString())
        if (response.statusCode() != OK) fail("$endpoint$path: ${response.statusCode()} ${response.body()}")
    }

    fun status(node: DemoNode): StatusDocument? = operators.status(node.operator).get()

    /** Waits until all nodes know each other and hold the same state; false if they do not by the deadline. */
    fun awaitAgreement(deadlineMillis: Long): Boolean =
        awaitUntil(deadlineMillis) {
            val statuses = running.map(::status)
            val isComplete = statuses.all { it != null && it.ready && it.liveNodes == running.size }
            isComplete && statuses.map { Triple(it!!.version, it.offset, it.contentHash) }.toSet().size == 1
        }

    fun awaitUntil(
        deadlineMillis: Long,
        isTrue: () -> Boolean,
    ): Boolean {
        while (!isTrue()) {
            if (System.currentTimeMillis() >= deadlineMillis) return false
            Thread.sleep(POLL_MILLIS)
        }
        return true
    }

    override fun close() = relay.close()

    private fun logOf(plan: NodePlan): Endpoint = if (plan.domain == FAULTY_DOMAIN) relay.endpoint else log

    private companion object {
        const val LEAVE_SECONDS = 20L

        /** Long, because a stand-in may be slow on a busy machine and injecting a fault is not itself a check. */
        val INJECTION_TIMEOUT: Duration = Duration.ofSeconds(10)
        const val OK = 200
    }
}

internal val DemoNode.domain: String get() = settings.failureDomain.value
