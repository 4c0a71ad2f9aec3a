package dev.baobabhollow.proxy

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.longs.shouldBeLessThan
import io.kotest.matchers.shouldBe
import io.netty.handler.codec.http.HttpResponse
import java.net.SocketException
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger

/** Time within which a node must have closed a connection without a response; calls of these tests time out in 10 s. */
private const val CLOSED_MILLIS = 3_000L

/** Sends [piece] until the connection is closed, and then signals [closed]. */
private fun RawConnection.sendEndlessly(
    piece: String,
    closed: Signal<Unit>,
) {
    try {
        while (true) send(piece)
    } catch (_: SocketException) {
        closed.send(Unit)
    }
}

/** Skips late responses to other calls, and recognizes refusals by a header. */
private object LenientProtocol : CallProtocol by MeshProtocol {
    override val skipsMismatchedResponses = true

    override fun readResponseMetadata(head: HttpResponse) =
        ResponseMetadata(callId = head.headers().get("id"), isNotRun = head.headers().contains("not-run"))
}

class EndlessResponseSpec :
    DescribeSpec({
        val settings = ProxySettings(LOOPBACK_ANY, protocol = LenientProtocol)

        /** Target that sends [start] and then endless [piece]s after its first request, and responds to later ones. */
        fun endlessTarget(
            start: String,
            piece: String,
            closed: Signal<Unit>,
        ): ScriptedTarget {
            val requests = AtomicInteger()
            return ScriptedTarget { connection ->
                while (true) {
                    connection.read() ?: break
                    if (requests.getAndIncrement() > 0) {
                        connection.respond("ok")
                        continue
                    }
                    connection.send(start)
                    connection.sendEndlessly(piece, closed)
                }
            }
        }

        fun elapsedMillis(step: () -> Unit): Long {
            val start = System.nanoTime()
            step()
            return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - start)
        }

        val filler = "x".repeat(1_000)
        val refused = "HTTP/1.1 503 full\r\nnot-run: 1\r\n"
        val mismatched = "HTTP/1.1 200 OK\r\nid: other\r\n"

        describe("an endless stream of bytes that are no response") {
            // Guards against a target that holds a call, its slot and the node's time by sending until the deadline.
            mapOf(
                "a status line" to ("HTTP/1.1 200 " to filler),
                "a header" to ("HTTP/1.1 200 OK\r\nx-long: " to filler),
                "headers" to ("HTTP/1.1 200 OK\r\n" to "x-more: $filler\r\n"),
                "no protocol" to ("" to filler),
                "empty lines" to ("" to "\r\n".repeat(500)),
                "informational responses" to ("" to "HTTP/1.1 102 Processing\r\n\r\n"),
                "a chunk's size" to ("${mismatched}transfer-encoding: chunked\r\n\r\n1;" to filler),
                "the body of another call's response" to
                    ("${mismatched}transfer-encoding: chunked\r\n\r\n" to "3e8\r\n$filler\r\n"),
                "responses to other calls" to ("" to "${mismatched}content-length: 1000\r\n\r\n$filler"),
            ).forEach { (what, bytes) ->
                it("ends the call and the connection when it consists of $what") {
                    val closed = Signal<Unit>()
                    endlessTarget(bytes.first, bytes.second, closed).use { target ->
                        TestMesh(listOf(target.port), slots = 1, settings = settings).use { mesh ->
                            var response: Message? = null
                            elapsedMillis {
                                response = call(mesh.port, "/orders/1", "POST")
                                closed.await()
                            } shouldBeLessThan CLOSED_MILLIS
                            response?.status shouldBe 502
                            response?.outcome shouldBe "unknown"
                            call(mesh.port, "/orders/2", "POST")?.body shouldBe "ok"
                        }
                    }
                }
            }

            // Guards against a slot that is never released, since no caller waits for the rest of a refusal.
            mapOf(
                "chunks" to "${refused}transfer-encoding: chunked\r\n\r\n",
                "a large length" to "${refused}content-length: 9000000000\r\n\r\n",
            ).forEach { (what, start) ->
                it("does not change a refusal and frees the slot when it is the refusal's body in $what") {
                    val closed = Signal<Unit>()
                    endlessTarget(start, "3e8\r\n$filler\r\n", closed).use { target ->
                        TestMesh(listOf(target.port), slots = 1, settings = settings).use { mesh ->
                            elapsedMillis {
                                val response = call(mesh.port, "/orders/1", "POST")
                                response?.status shouldBe 503
                                response?.outcome shouldBe "not-run"
                                closed.await()
                            } shouldBeLessThan CLOSED_MILLIS
                            call(mesh.port, "/orders/2", "POST")?.body shouldBe "ok"
                        }
                    }
                }
            }

            // Guards against a connection that keeps a node busy although it carries no call.
            it("closes a connection that is idle") {
                val closed = Signal<Unit>()
                val target =
                    ScriptedTarget { connection ->
                        connection.read() ?: return@ScriptedTarget
                        connection.respond("ok")
                        connection.sendEndlessly("\r\n".repeat(500), closed)
                    }
                TestMesh(listOf(target.port), settings = settings).use { mesh ->
                    elapsedMillis {
                        call(mesh.port, "/stock/1")?.body shouldBe "ok"
                        closed.await()
                    } shouldBeLessThan CLOSED_MILLIS
                }
                target.close()
            }
        }

        describe("a refusal whose body stalls") {
            // Guards against a slot that is held forever by a target that stops sending.
            it("frees the slot after a short time") {
                val requests = AtomicInteger()
                val target =
                    ScriptedTarget { connection ->
                        while (true) {
                            connection.read() ?: break
                            if (requests.getAndIncrement() > 0) {
                                connection.respond("ok")
                            } else {
                                connection.send("${refused}content-length: 100\r\n\r\nhalf")
                                connection.readToEnd()
                            }
                        }
                    }
                TestMesh(listOf(target.port), slots = 1, settings = settings).use { mesh ->
                    call(mesh.port, "/orders/1", "POST")?.status shouldBe 503
                    elapsedMillis {
                        call(mesh.port, "/orders/2", "POST")?.body shouldBe "ok"
                    } shouldBeLessThan CLOSED_MILLIS
                }
                target.close()
            }
        }

        describe("a refusal whose body arrives late") {
            // Guards against a new connection for each call that the local target refuses while it is full.
            it("keeps the connection in use") {
                val connections = AtomicInteger()
                val target =
                    ScriptedTarget { connection ->
                        connections.incrementAndGet()
                        while (true) {
                            connection.read() ?: break
                            connection.send("${refused}content-length: 4\r\n\r\nfu")
                            Thread.sleep(50)
                            connection.send("ll")
                        }
                    }
                // Each event loop has its own connections.
                val single = settings.copy(eventLoops = 1)
                TestMesh(listOf(target.port), slots = 1, settings = single).use { mesh ->
                    repeat(5) {
                        call(mesh.owners[0].callersPort, "/orders/$it", "POST")?.status shouldBe 503
                        Thread.sleep(150)
                    }
                }
                connections.get() shouldBe 1
                target.close()
            }
        }

        describe("a refusal that arrives before the request is complete") {
            // Guards against a slot that is held forever, since the rest of the request is not sent.
            it("frees the slot although the caller stops sending") {
                val requests = AtomicInteger()
                val target =
                    ScriptedTarget { connection ->
                        while (true) {
                            connection.read(withBody = false) ?: break
                            if (requests.getAndIncrement() > 0) {
                                connection.respond("ok")
                            } else {
                                connection.respond("", "503 full", "not-run: 1\r\n")
                                connection.readToEnd()
                            }
                        }
                    }
                TestMesh(listOf(target.port), slots = 1, settings = settings).use { mesh ->
                    val upload = connect(mesh.port)
                    upload.send("POST /drawings/1 HTTP/1.1\r\nhost: a\r\ncontent-length: 200000\r\n\r\n")
                    upload.send("x".repeat(100_000))
                    upload.read()?.status shouldBe 503
                    elapsedMillis {
                        call(mesh.port, "/orders/2", "POST")?.body shouldBe "ok"
                    } shouldBeLessThan CLOSED_MILLIS
                    upload.close()
                }
                target.close()
            }
        }

        describe("an endless response body") {
            it("ends at the deadline together with its connection") {
                val closed = Signal<Unit>()
                val start = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"
                endlessTarget(start, "3e8\r\n$filler\r\n", closed).use { target ->
                    TestMesh(listOf(target.port), slots = 1, settings = settings, timeoutMillis = 1_000).use { mesh ->
                        elapsedMillis {
                            connect(mesh.port).use { caller ->
                                caller.send("POST /orders/1 HTTP/1.1\r\nhost: a\r\n\r\n")
                                caller.readAndDiscard() shouldBe false
                            }
                            closed.await()
                        } shouldBeLessThan CLOSED_MILLIS
                        call(mesh.port, "/orders/2", "POST")?.body shouldBe "ok"
                    }
                }
            }
        }
    })
