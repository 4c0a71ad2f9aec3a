package dev.baobabhollow.cli

import dev.baobabhollow.cli.demo.DemoFleet
import dev.baobabhollow.cli.demo.DemoNode
import dev.baobabhollow.cli.demo.NodePlan
import dev.baobabhollow.model.Change
import dev.baobabhollow.model.Endpoint
import dev.baobabhollow.model.MemberConfig
import dev.baobabhollow.model.MemberId
import dev.baobabhollow.model.Patch
import dev.baobabhollow.model.ReleaseId
import dev.baobabhollow.model.RouteConfig
import dev.baobabhollow.model.RouteId
import dev.baobabhollow.model.ServiceConfig
import dev.baobabhollow.model.ServiceId
import dev.baobabhollow.platformlog.HttpPlatformLog
import io.kotest.assertions.withClue
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.comparables.shouldBeLessThan
import io.kotest.matchers.shouldBe
import java.io.File
import java.net.Socket
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import java.nio.file.Files
import java.time.Duration
import java.util.concurrent.TimeUnit
import kotlin.concurrent.thread

private const val START_MILLIS = 60_000L

/** The product's options with two thirds of their heap and direct memory, so that a few clients suffice. */
private val SMALL_HEAP = ChildProcesses.nodeFlags() + listOf("-Xmx32m", "-XX:MaxDirectMemorySize=16m")

/** Time for which the clients hold their requests open. */
private const val HOLD_MILLIS = 5_000L
private const val CLIENTS = 120

/** A node at work takes about 105 MB. Its heap and direct memory in full take 48 MB. */
private const val MAX_RESIDENT_KB = 150_000L

/** A node without load has about 100 files open. */
private const val MAX_OPEN_FILES = 400

private val HEADER_PATCH =
    Patch(
        listOf(
            Change.PutMember(MemberId("m"), MemberConfig("M")),
            Change.PutService(ServiceId("s"), ServiceConfig(MemberId("m"), setOf(ReleaseId("1")), ReleaseId("1"))),
            Change.PutRoute(RouteId("r"), RouteConfig(ServiceId("s"), "/s", timeoutMillis = 60_000)),
        ),
    )

/** Guards against a node that ends because decoded header lines take many times the memory of their bytes. */
class HeaderLinesSpec :
    DescribeSpec({
        val host = "host: a\r\n"

        /** 16,000 bytes of header lines, whose fields take 29 times as much. */
        val lines = "a:b\r\n".repeat(3_200)

        /** Starts a node, has each client hold [texts] open, and checks that the node survives and serves. */
        fun survives(texts: List<String>) {
            val directory = Files.createTempDirectory("baobabhollow-test").toFile()
            ChildProcesses(directory).use { children ->
                val fleet = DemoFleet(children, directory, emptyMap(), serviceMillis = 4_000.0, nodeFlags = SMALL_HEAP)
                val log = fleet.startLog()
                val node =
                    fleet
                        .startNodes(
                            listOf(NodePlan("n1", "a", "s", "1", slots = 200, connections = 200)),
                            log,
                        ).first()
                publish(log, node)
                awaitServing(node)
                val process = node.child.process
                val clients = List(CLIENTS) { thread(isDaemon = true) { hold(node.settings.addresses.callers, texts) } }
                var resident = 0L
                var files = 0
                while (clients.any { it.isAlive }) {
                    resident = maxOf(resident, residentKilobytes(process.pid()))
                    files = maxOf(files, openFiles(process.pid()))
                    Thread.sleep(50)
                }
                val exitCode = if (process.isAlive) null else process.exitValue()
                withClue("exit code $exitCode") { process.isAlive shouldBe true }
                resident shouldBeLessThan MAX_RESIDENT_KB
                files shouldBeLessThan MAX_OPEN_FILES
                awaitServing(node)
            }
            directory.deleteRecursively()
        }

        describe("a node stays alive, within its memory, and answers an ordinary request afterwards") {
            it("when incomplete heads of many lines wait behind requests in progress") {
                val first = "GET /s/x HTTP/1.1\r\n$host\r\n"
                val next = "GET /s/x HTTP/1.1\r\n$host" + lines
                survives(listOf(first, next))
            }

            it("when complete heads of many lines wait for a body") {
                val head = "POST /s/x HTTP/1.1\r\n${host}content-length: 60000\r\n" + lines + "\r\n"
                survives(listOf(head))
            }

            it("when complete heads of many lines wait for a slot and for their turn") {
                val head = "GET /s/x HTTP/1.1\r\n$host" + lines + "\r\n"
                survives(List(8) { head })
            }

            it("when incomplete trailers of many lines are held open") {
                val head = "POST /s/x HTTP/1.1\r\n${host}transfer-encoding: chunked\r\n\r\n1\r\na\r\n0\r\n"
                survives(listOf(head, lines))
            }
        }
    })

private fun publish(
    log: Endpoint,
    node: DemoNode,
) = HttpPlatformLog(log).use { client ->
    val operators = OperatorClient()
    val deadline = System.currentTimeMillis() + START_MILLIS
    awaitTrue("the node has started") { runCatching { operators.status(node.operator).isOk }.getOrDefault(false) }
    Publisher(client, operators, node.operator).publish(0, HEADER_PATCH, "ana", deadline)
}

private fun awaitServing(node: DemoNode) =
    awaitTrue("an ordinary request is answered") {
        statusOfOrdinary(node) == 200
    }

private fun awaitTrue(
    what: String,
    isTrue: () -> Boolean,
) {
    val deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(START_MILLIS)
    while (!isTrue()) {
        check(System.nanoTime() < deadlineNanos) { "not within $START_MILLIS ms: $what" }
        Thread.sleep(100)
    }
}

/** Returns the status of the response to an ordinary request, or null if there is none. */
private fun statusOfOrdinary(node: DemoNode): Int? {
    val uri = URI("http://${node.settings.addresses.callers}/s/ordinary")
    val request = HttpRequest.newBuilder(uri).timeout(Duration.ofSeconds(30)).build()
    val response =
        runCatching { HttpClient.newHttpClient().send(request, HttpResponse.BodyHandlers.discarding()) }.getOrNull()
    return response?.statusCode()
}

/** Sends [parts] on one connection, and closes it after [HOLD_MILLIS]. */
private fun hold(
    endpoint: Endpoint,
    parts: List<String>,
) {
    val untilNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(HOLD_MILLIS)
    runCatching {
        Socket(endpoint.host, endpoint.port).use { socket ->
            // A node that does not read must not block the sender for longer.
            thread(isDaemon = true) {
                runCatching {
                    parts.forEach {
                        socket.getOutputStream().write(it.encodeToByteArray())
                        Thread.sleep(200)
                    }
                }
            }
            while (System.nanoTime() < untilNanos) Thread.sleep(50)
        }
    }
}

private fun residentKilobytes(pid: Long): Long =
    runCatching {
        File("/proc/$pid/status")
            .readLines()
            .first { it.startsWith("VmRSS:") }
            .filter { it.isDigit() }
            .toLong()
    }.getOrDefault(0)

private fun openFiles(pid: Long): Int = File("/proc/$pid/fd").list()?.size ?: 0
