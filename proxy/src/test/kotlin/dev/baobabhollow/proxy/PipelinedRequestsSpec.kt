package dev.baobabhollow.proxy

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.longs.shouldBeLessThan
import io.kotest.matchers.shouldBe
import io.netty.handler.codec.http.HttpHeaders
import java.util.SplittableRandom
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicLong
import kotlin.concurrent.thread

private fun get(
    path: String,
    headers: String = "",
) = "GET $path HTTP/1.1\r\nhost: a\r\n$headers\r\n"

private fun post(
    path: String,
    body: String,
) = "POST $path HTTP/1.1\r\nhost: a\r\ncontent-length: ${body.length}\r\n\r\n$body"

/** Reports each request and leaves the response to the test. */
private class HeldTarget : AutoCloseable {
    private val requests = ConcurrentHashMap<String, RawConnection>()
    val paths = CopyOnWriteArrayList<String>()
    private val target =
        ScriptedTarget { connection ->
            while (true) {
                val request = connection.read() ?: break
                requests[request.path] = connection
                paths += request.path
            }
        }
    val port: Int get() = target.port

    fun await(path: String): RawConnection {
        awaitUntil("$path has reached the target") { requests.containsKey(path) }
        return requests.getValue(path)
    }

    fun has(path: String) = path in paths

    override fun close() = target.close()
}

/** Guards against pipelined requests that delay, mix up or outlive one another. */
class PipelinedRequestsSpec :
    DescribeSpec({
        fun withHeldTarget(
            settings: ProxySettings = ProxySettings(LOOPBACK_ANY),
            check: (HeldTarget, TestMesh) -> Unit,
        ) = HeldTarget().use { target ->
            TestMesh(listOf(target.port), settings = settings).use { mesh -> check(target, mesh) }
        }

        describe("idempotent requests on one connection") {
            // Guards against a request that waits for the response to the one before it.
            it("are executed at the same time, and their responses keep the order of the requests") {
                withHeldTarget { target, mesh ->
                    connect(mesh.port).use { caller ->
                        caller.send(get("/stock/1") + get("/stock/2") + get("/stock/3"))
                        val first = target.await("/stock/1")
                        target.await("/stock/3").respond("third")
                        target.await("/stock/2").respond("second")
                        first.respond("first")
                        List(3) { caller.read()?.body } shouldBe listOf("first", "second", "third")
                        caller.send(get("/stock/4"))
                        target.await("/stock/4").respond("fourth")
                        caller.read()?.body shouldBe "fourth"
                    }
                }
            }

            // Guards against a deadline that starts only once the request is forwarded.
            it("pass on a deadline that counts from the time at which they were read") {
                val settings = ProxySettings(LOOPBACK_ANY, protocol = RemainingTimeProtocol, sendsRemainingTime = true)
                val lefts = ConcurrentHashMap<String, Long>()
                val blocked = Signal<RawConnection>()
                ScriptedTarget { connection ->
                    while (true) {
                        val request = connection.read() ?: break
                        lefts[request.path] = request.headers.getValue("left").toLong()
                        if (request.path == "/stock/1") blocked.send(connection) else connection.respond("ok")
                    }
                }.use { target ->
                    TestMesh(listOf(target.port), settings = settings).use { mesh ->
                        connect(mesh.port).use { caller ->
                            caller.send(get("/stock/1", "left: 4000\r\n") + get("/orders/2", "left: 4000\r\n"))
                            val first = blocked.await()
                            Thread.sleep(500)
                            first.respond("ok")
                            repeat(2) { caller.read()?.status shouldBe 200 }
                        }
                    }
                }
                lefts.getValue("/orders/2") shouldBeLessThan 3_600L
            }

            it("keep a failed one from ending the others") {
                ScriptedTarget { connection ->
                    val request = connection.read() ?: return@ScriptedTarget
                    if (request.path == "/stock/2") return@ScriptedTarget
                    Thread.sleep(100)
                    connection.respond(request.path)
                }.use { target ->
                    TestMesh(listOf(target.port)).use { mesh ->
                        connect(mesh.port).use { caller ->
                            caller.send(get("/stock/1") + get("/stock/2") + get("/none") + get("/stock/3"))
                            List(4) { caller.read()?.status } shouldBe listOf(200, 502, 404, 200)
                        }
                    }
                }
            }

            // Guards against a truncated response that looks complete because others follow it.
            it("end in a closed connection where a response is truncated") {
                ScriptedTarget { connection ->
                    val request = connection.read() ?: return@ScriptedTarget
                    if (request.path == "/stock/2") {
                        connection.send("HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\nhalf")
                        Thread.sleep(200)
                    } else {
                        connection.respond(request.path)
                    }
                }.use { target ->
                    TestMesh(listOf(target.port)).use { mesh ->
                        connect(mesh.port).use { caller ->
                            caller.send(get("/stock/1") + get("/stock/2") + get("/stock/3"))
                            caller.read()?.body shouldBe "/stock/1"
                            caller.read() shouldBe null
                        }
                    }
                }
            }
        }

        describe("a request that must not be repeated") {
            // Guards against a second run: a caller sends it again if the response before it closes the connection.
            it("is not executed before the responses to earlier requests are complete") {
                withHeldTarget { target, mesh ->
                    connect(mesh.port).use { caller ->
                        caller.send(get("/stock/1") + post("/orders/2", "order") + get("/stock/3"))
                        val first = target.await("/stock/1")
                        Thread.sleep(200)
                        target.paths.toList() shouldBe listOf("/stock/1")
                        first.respond("first")
                        target.await("/orders/2").respond("second")
                        target.await("/stock/3").respond("third")
                        List(3) { caller.read()?.body } shouldBe listOf("first", "second", "third")
                    }
                }
            }

            it("is not executed behind a response that closes the connection") {
                withHeldTarget { target, mesh ->
                    connect(mesh.port).use { caller ->
                        caller.send(get("/stock/1", "connection: close\r\n") + post("/orders/2", "order"))
                        target.await("/stock/1").respond("first")
                        caller.read()?.headers?.get("connection") shouldBe "close"
                        caller.read() shouldBe null
                    }
                    Thread.sleep(200)
                    target.has("/orders/2") shouldBe false
                }
            }
        }

        describe("a caller that disconnects") {
            // Guards against work for disconnected callers: with requests waiting, the close was read only after them.
            it("ends all its calls, and its waiting requests are not executed") {
                withHeldTarget { target, mesh ->
                    connect(mesh.port).use { caller ->
                        caller.send(get("/stock/1") + get("/stock/2") + post("/orders/3", "order"))
                        target.await("/stock/1")
                        target.await("/stock/2")
                    }
                    awaitUntil("the calls have ended") { mesh.entry.inFlight == 0 && mesh.owners[0].inFlight == 0 }
                    awaitUntil("the slots are free") { mesh.owners[0].loadPermille == 0 }
                    target.has("/orders/3") shouldBe false
                }
            }

            it("is noticed when it has sent more requests than are executed at the same time") {
                withHeldTarget(ProxySettings(LOOPBACK_ANY, maxPipelinedCalls = 2)) { target, mesh ->
                    connect(mesh.port).use { caller ->
                        repeat(5) { caller.send(get("/stock/$it")) }
                        // Both use connections of their own, so either may arrive first.
                        target.await("/stock/0")
                        target.await("/stock/1")
                    }
                    awaitUntil("the calls have ended") { mesh.entry.inFlight == 0 && mesh.owners[0].inFlight == 0 }
                    target.paths.toList().sorted() shouldBe listOf("/stock/0", "/stock/1")
                }
            }
        }

        describe("a planned stop") {
            // Guards against a stop that cuts off requests which have been read but not forwarded.
            it("answers all requests that have been read, and closes the connection after the last one") {
                withHeldTarget { target, mesh ->
                    connect(mesh.port).use { caller ->
                        caller.send(get("/stock/1") + get("/stock/2") + post("/orders/3", "order"))
                        val first = target.await("/stock/1")
                        target.await("/stock/2").respond("second")
                        val left = Signal<Int>()
                        thread {
                            left.send(mesh.entry.drain(System.currentTimeMillis() + 10_000))
                            mesh.entry.close()
                        }
                        awaitUntil("the entry node drains") { call(mesh.port, "/none")?.reason == "draining" }
                        first.respond("first")
                        val responses = List(3) { caller.read() }
                        responses.map { it?.status } shouldBe listOf(200, 200, 503)
                        responses.map { it?.headers?.get("connection") } shouldBe listOf(null, null, "close")
                        responses.last()?.outcome shouldBe "not-run"
                        caller.read() shouldBe null
                        left.await() shouldBe 0
                    }
                    target.has("/orders/3") shouldBe false
                }
            }

            // Guards against a stop that closes a connection before a slow reader has received its response.
            it("waits until a long response has been received") {
                val body = "x".repeat(8_000_000)
                ScriptedTarget.responding { respond(body) }.use { target ->
                    TestMesh(listOf(target.port)).use { mesh ->
                        connect(mesh.port).use { caller ->
                            caller.send(get("/stock/1"))
                            awaitUntil("the call is in flight") { mesh.entry.inFlight == 1 }
                            val left = Signal<Int>()
                            thread {
                                left.send(mesh.entry.drain(System.currentTimeMillis() + 10_000))
                                mesh.entry.close()
                            }
                            Thread.sleep(1_000)
                            caller.read()?.body?.length shouldBe body.length
                            left.await() shouldBe 0
                        }
                    }
                }
            }
        }

        describe("long responses behind a slow one") {
            // Guards against memory that grows with the responses that wait for their turn.
            it("are read from the target only up to the buffer limit") {
                val sent = AtomicLong()
                val gate = Signal<RawConnection>()
                ScriptedTarget { connection ->
                    val request = connection.read() ?: return@ScriptedTarget
                    if (request.path == "/stock/1") {
                        gate.send(connection)
                        connection.read()
                        return@ScriptedTarget
                    }
                    connection.send("HTTP/1.1 200 OK\r\ncontent-length: 64000000\r\n\r\n")
                    val chunk = "y".repeat(64_000)
                    repeat(1_000) {
                        connection.send(chunk)
                        sent.addAndGet(64_000)
                    }
                }.use { target ->
                    TestMesh(listOf(target.port)).use { mesh ->
                        connect(mesh.port).use { caller ->
                            caller.send(get("/stock/1") + get("/stock/2"))
                            val first = gate.await()
                            Thread.sleep(1_000)
                            sent.get() shouldBeLessThan 32_000_000L
                            first.respond("first")
                            caller.read()?.body shouldBe "first"
                            caller.read()?.body?.length shouldBe 64_000_000
                        }
                    }
                }
            }
        }

        describe("requests cut at any byte") {
            // Fuzzes the front: each caller gets whole responses to its own requests, or a closed connection.
            it("get whole responses in order") {
                val target = ScriptedTarget.responding { respond("${it.path} ${it.body}") }
                TestMesh(listOf(target.port)).use { mesh ->
                    val inner = get("/stock/inner")
                    val text = get("/stock/1") + post("/drawings/2", inner) + get("/stock/3") + post("/orders/4", inner)
                    val expected = listOf("/stock/1 ", "/drawings/2 $inner", "/stock/3 ", "/orders/4 $inner")
                    (1 until text.length step 7).forEach { cut ->
                        connect(mesh.port).use { caller ->
                            caller.send(text.take(cut))
                            Thread.sleep(2)
                            caller.send(text.drop(cut))
                            List(4) { caller.read()?.body } shouldBe expected
                        }
                    }
                }
                target.close()
            }

            it("get their own responses on many connections with random delays at the targets") {
                val seed = 20_261_205L
                val random = SplittableRandom(seed)
                val delays = List(64) { random.nextLong(12) }
                val served = AtomicInteger()
                val targets =
                    List(2) {
                        ScriptedTarget.responding(served) {
                            Thread.sleep(delays[(it.path.hashCode() and Int.MAX_VALUE) % delays.size])
                            respond(it.path)
                        }
                    }
                TestMesh(targets.map { it.port }, slots = 64).use { mesh ->
                    val failures = CopyOnWriteArrayList<String>()
                    val callers =
                        List(8) { number ->
                            thread {
                                connect(mesh.port).use { caller ->
                                    repeat(20) { round ->
                                        val paths = List(6) { "/stock/$number-$round-$it" }
                                        caller.send(paths.joinToString("") { get(it) })
                                        val bodies = paths.map { caller.read()?.body }
                                        if (bodies != paths) failures += "expected $paths, received $bodies"
                                    }
                                }
                            }
                        }
                    callers.forEach { it.join() }
                    failures.toList() shouldBe emptyList()
                }
                served.get() shouldBe 8 * 20 * 6
                targets.forEach { it.close() }
            }
        }
    })

/** A protocol that states the remaining time in the header `left`. */
private object RemainingTimeProtocol : CallProtocol by MeshProtocol {
    override fun readCallerMetadata(
        headers: HttpHeaders,
        nowMillis: Long,
    ) = CallerMetadata(null, headers.get("left")?.toLong()?.let { nowMillis + it })

    override fun writeTargetMetadata(
        headers: HttpHeaders,
        metadata: TargetMetadata,
    ) {
        MeshProtocol.writeTargetMetadata(headers, metadata)
        headers.set("left", metadata.remainingMillis)
    }
}
