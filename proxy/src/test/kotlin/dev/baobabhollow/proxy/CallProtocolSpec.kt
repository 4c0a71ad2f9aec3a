package dev.baobabhollow.proxy

import dev.baobabhollow.calls.PickerSettings
import dev.baobabhollow.calls.RetryBudgetSettings
import dev.baobabhollow.calls.RoutingTable
import dev.baobabhollow.calls.SelectionPolicy
import dev.baobabhollow.model.ServiceId
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.longs.shouldBeInRange
import io.kotest.matchers.shouldBe
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpResponse
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.atomic.AtomicInteger
import kotlin.concurrent.thread

/** A protocol with headers of its own, so that the tests do not depend on a platform. */
private object CustomHeaderProtocol : CallProtocol {
    override val allowsCloseDelimitedResponses = true
    override val skipsMismatchedResponses = true

    override fun isCallIdEchoed(headers: HttpHeaders) = false

    override fun readCallerMetadata(
        headers: HttpHeaders,
        nowMillis: Long,
    ) = CallerMetadata(headers.get("id"), headers.get("left")?.toLong()?.let { nowMillis + it })

    override fun writeTargetMetadata(
        headers: HttpHeaders,
        metadata: TargetMetadata,
    ) {
        headers.removeMeshHeaders()
        headers.set("left", metadata.remainingMillis)
        metadata.callerService?.let { headers.set("caller", it.value) }
    }

    override fun readResponseMetadata(head: HttpResponse) =
        ResponseMetadata(
            callId = head.headers().get("id"),
            isNotRun = head.headers().contains("not-run"),
            isWellFormed = !head.headers().contains("spoilt"),
        )

    override fun writeFailure(
        head: HttpResponse,
        callId: String?,
        isNotRun: Boolean,
        retryAfterMillis: Long?,
    ) {
        callId?.let { head.headers().set("id", it) }
        if (isNotRun) head.headers().set("is-not-run", "1")
        retryAfterMillis?.let { head.headers().set("room-in", it) }
    }
}

/** The same protocol with targets that echo the identifiers of all calls that have one. */
private object EchoingProtocol : CallProtocol by CustomHeaderProtocol {
    override fun isCallIdEchoed(headers: HttpHeaders) = headers.contains("id")
}

class CallProtocolSpec :
    DescribeSpec({
        val settings =
            ProxySettings(
                LOOPBACK_ANY,
                protocol = CustomHeaderProtocol,
                callerService = ServiceId("shop"),
                retriesServerErrors = true,
                sendsRemainingTime = true,
                chargesRefusals = false,
                picker = PickerSettings(selectionPolicy = SelectionPolicy.SHORTEST_WAIT),
                retries = RetryBudgetSettings(minimumPerSecond = 100),
            )

        describe("a call over a protocol with other headers") {
            // Guards against a retry that reaches its target without the name of its caller.
            it("states its caller and the remaining time on each attempt") {
                val seen = CopyOnWriteArrayList<Message>()
                val failing =
                    ScriptedTarget.responding {
                        seen += it
                        respond("", "500 error")
                    }
                val working =
                    ScriptedTarget.responding {
                        seen += it
                        respond("ok")
                    }
                TestMesh(listOf(failing.port, working.port), settings = settings).use { mesh ->
                    repeat(20) { call(mesh.port, "/stock/$it", headers = "id: c$it\r\nleft: 2000\r\n") }
                }
                seen.forEach {
                    it.headers["caller"] shouldBe "shop"
                    it.headers.getValue("left").toLong() shouldBeInRange 1_000L..2_000L
                    it.headers.keys.filter { name -> name.startsWith("x-baobabhollow") } shouldBe emptyList()
                }
                failing.close()
                working.close()
            }

            // Guards against a target that works on after its caller's deadline, since the call waited for a connection.
            it("states the time that is left when it has waited for a connection") {
                val server = ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))
                // Connections that are not accepted fill the backlog, so the next one is established only on a retry.
                val fillers = List(2) { Socket(server.inetAddress, server.localPort) }
                val left = Signal<Long>()
                thread(isDaemon = true) {
                    Thread.sleep(300)
                    while (true) {
                        val connection = RawConnection(runCatching { server.accept() }.getOrNull() ?: break)
                        thread(isDaemon = true) {
                            val request = connection.read() ?: return@thread
                            left.send(request.headers.getValue("left").toLong())
                            connection.respond("ok")
                        }
                    }
                }
                TestMesh(listOf(server.localPort), settings = settings.copy(connectTimeoutMillis = 5_000)).use { mesh ->
                    call(mesh.port, "/orders/1", "POST", "left: 6000\r\n")?.body shouldBe "ok"
                }
                left.await() shouldBeInRange 1_000L..5_500L
                fillers.forEach { it.close() }
                server.close()
            }

            // Guards against a refusal by a target that counts as a run, and against a second run that is not allowed.
            it("is retried at another target when the first one reports that it has not run") {
                val runs = AtomicInteger()
                val refusing = ScriptedTarget.responding { respond("", "503 full", "not-run: 1\r\n") }
                val working = ScriptedTarget.responding(runs) { respond("ok") }
                TestMesh(listOf(refusing.port, working.port), settings = settings).use { mesh ->
                    repeat(20) { call(mesh.port, "/orders/$it", "POST", "id: c\r\n")?.status shouldBe 200 }
                }
                runs.get() shouldBe 20
                refusing.close()
                working.close()
            }

            it("gets a refusal as not run, with its identifier, when no target accepts it") {
                val refusing = ScriptedTarget.responding { respond("", "503 full", "not-run: 1\r\n") }
                TestMesh(listOf(refusing.port), settings = settings).use { mesh ->
                    val response = call(mesh.port, "/orders/1", "POST", "id: c1\r\n")
                    response?.status shouldBe 503
                    response?.headers?.get("is-not-run") shouldBe "1"
                    response?.headers?.get("id") shouldBe "c1"
                }
                refusing.close()
            }

            // Guards against callers that retry at once at a node that has just started, and are refused again.
            it("gets a refusal with a retry-after time while no target is known") {
                TestMesh(emptyList(), settings = settings.copy(notReadyRetryAfterMillis = 500)).use { mesh ->
                    val response = call(mesh.port, "/orders/1", "POST", "id: c1\r\n")
                    response?.reason shouldBe "no-target"
                    response?.headers?.get("room-in") shouldBe "500"
                    mesh.table = RoutingTable.EMPTY
                    call(mesh.port, "/orders/1", "POST", "id: c1\r\n")?.headers?.get("room-in") shouldBe "500"
                }
            }

            // Guards against a late response to an earlier call that reaches the next caller on the connection.
            it("receives its own response after a late one to another call") {
                val target =
                    ScriptedTarget.responding {
                        respond("late", headers = "id: other\r\n")
                        respond("own", headers = "id: ${it.headers["id"]}\r\n")
                    }
                TestMesh(listOf(target.port), settings = settings).use { mesh ->
                    repeat(5) { call(mesh.port, "/orders/$it", "POST", "id: c$it\r\n")?.body shouldBe "own" }
                }
                target.close()
            }
        }

        describe("a refusal that a target sends once more on a connection in use") {
            val echoing = settings.copy(protocol = EchoingProtocol, eventLoops = 1)

            /** Refuses the first call, and executes the second one after a copy of that refusal. */
            fun repeatingTarget(
                runs: AtomicInteger,
                copyHeaders: String,
            ) = ScriptedTarget { connection ->
                val first = connection.read() ?: return@ScriptedTarget
                val id = "id: ${first.headers["id"]}\r\n"
                connection.respond("", "503 full", "not-run: 1\r\n$id")
                val second = connection.read() ?: return@ScriptedTarget
                runs.incrementAndGet()
                connection.respond(
                    "",
                    "503 full",
                    "not-run: 1\r\n$copyHeaders".replace("ID", first.headers["id"].orEmpty()),
                )
                Thread.sleep(50)
                connection.respond("done", headers = "id: ${second.headers["id"]}\r\n")
                connection.read()
            }

            // Guards against a call that is reported as not run while its target executes it.
            it("does not become the response to the next call") {
                listOf("", "id: ID\r\n").forEach { copyHeaders ->
                    val runs = AtomicInteger()
                    repeatingTarget(runs, copyHeaders).use { target ->
                        TestMesh(listOf(target.port), settings = echoing).use { mesh ->
                            call(mesh.port, "/orders/1", "POST", "id: c1\r\n")?.status shouldBe 503
                            val next = call(mesh.port, "/orders/2", "POST", "id: c2\r\n")
                            next?.headers?.get("is-not-run") shouldBe null
                            next?.status shouldBe if (copyHeaders.isEmpty()) 502 else 200
                        }
                    }
                    runs.get() shouldBe 1
                }
            }

            // Guards against a call that is executed by a second target.
            it("does not let the next call run at another target") {
                val runs = AtomicInteger()
                val targets = List(2) { repeatingTarget(runs, "") }
                TestMesh(targets.map { it.port }, settings = echoing).use { mesh ->
                    call(mesh.port, "/orders/1", "POST", "id: c1\r\n")?.status shouldBe 503
                    call(mesh.port, "/orders/2", "POST", "id: c2\r\n")?.status shouldBe 502
                }
                runs.get() shouldBe 1
                targets.forEach { it.close() }
            }
        }

        describe("a node whose event loop lags") {
            // Guards against requests that reach a target long after their callers have disconnected.
            it("refuses calls as not run") {
                val runs = AtomicInteger()
                val target = ScriptedTarget.responding(runs) { respond("ok") }
                // Every lag exceeds this limit.
                val limited = settings.copy(maxLoopLagMillis = -1)
                TestMesh(listOf(target.port), settings = limited).use { mesh ->
                    val response = call(mesh.port, "/orders/1", "POST", "id: c1\r\n")
                    response?.status shouldBe 503
                    response?.reason shouldBe "node-busy"
                    response?.headers?.get("is-not-run") shouldBe "1"
                }
                runs.get() shouldBe 0
                target.close()
            }

            it("measures the lag since its timer last fired") {
                var now = 1_000L
                val lag = LoopLag { now }
                now += 50
                lag.millis shouldBe 0
                now += 300
                lag.millis shouldBe 300
            }

            // Guards against old requests that are read right after the timer has fired late.
            it("reports the lag of a late timer until the timer has fired on time") {
                var now = 1_000L
                val lag = LoopLag { now }
                now += 350
                lag.tick()
                lag.millis shouldBe 300
                now += 50
                lag.tick()
                lag.millis shouldBe 0
                lag.takeLongest() shouldBe 300
            }
        }

        describe("a corrupted response") {
            // Guards against corrupted bytes that reach the caller as a success.
            it("is an unknown outcome, and the call is retried where that is allowed") {
                val corrupting = ScriptedTarget.responding { respond("ok", headers = "spoilt: 1\r\n") }
                val working = ScriptedTarget.responding { respond("ok") }
                TestMesh(listOf(corrupting.port), settings = settings).use { mesh ->
                    val response = call(mesh.port, "/orders/1", "POST")
                    response?.status shouldBe 502
                    response?.outcome shouldBe "unknown"
                }
                TestMesh(listOf(corrupting.port, working.port), settings = settings).use { mesh ->
                    repeat(10) { call(mesh.port, "/stock/$it")?.headers?.containsKey("spoilt") shouldBe false }
                }
                corrupting.close()
                working.close()
            }
        }

        describe("a close-delimited response") {
            it("is complete when its connection is closed") {
                val target =
                    ScriptedTarget { connection ->
                        connection.read() ?: return@ScriptedTarget
                        connection.send("HTTP/1.1 200 OK\r\n\r\nto the end")
                    }
                TestMesh(listOf(target.port), settings = settings).use { mesh ->
                    call(mesh.port, "/orders/1", "POST")?.body shouldBe "to the end"
                }
                target.close()
            }

            // Guards against a truncated response that appears complete.
            it("is incomplete when its connection is reset") {
                val target =
                    ScriptedTarget { connection ->
                        connection.read() ?: return@ScriptedTarget
                        connection.send("HTTP/1.1 200 OK\r\n\r\nto the")
                        Thread.sleep(100)
                        connection.socket.setSoLinger(true, 0)
                    }
                TestMesh(listOf(target.port), settings = settings).use { mesh ->
                    call(mesh.port, "/orders/1", "POST") shouldBe null
                }
                target.close()
            }
        }
    })
