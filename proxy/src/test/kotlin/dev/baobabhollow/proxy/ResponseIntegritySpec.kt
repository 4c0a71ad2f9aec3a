package dev.baobabhollow.proxy

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.string.shouldNotContain
import java.util.concurrent.atomic.AtomicInteger

/** Guards against a caller that receives a malformed, mismatched or truncated response as the one to its request. */
class ResponseIntegritySpec :
    DescribeSpec({
        fun withTarget(
            script: (RawConnection) -> Unit,
            check: (TestMesh) -> Unit,
        ) = ScriptedTarget(script).use { target -> TestMesh(listOf(target.port)).use(check) }

        describe("a response") {
            it("reaches its caller with status, headers and body") {
                val target =
                    ScriptedTarget.responding {
                        respond("for ${it.path} ${it.body}", headers = "x-own: 1\r\n")
                    }
                target.use {
                    TestMesh(listOf(target.port)).use { mesh ->
                        val connection = connect(mesh.port)
                        val first = connection.call("/stock/1")
                        first?.status shouldBe 200
                        first?.body shouldBe "for /stock/1 "
                        first?.headers?.get("x-own") shouldBe "1"
                        first?.headers?.get("x-baobabhollow-release") shouldBe "1"
                        first?.headers?.get("x-baobabhollow-call") shouldBe null
                        connection.call("/stock/2", "POST", body = "text")?.body shouldBe "for /stock/2 text"
                        connection.send(
                            "GET /stock/3 HTTP/1.1\r\nhost: a\r\n\r\nGET /stock/4 HTTP/1.1\r\nhost: a\r\n\r\n",
                        )
                        connection.read()?.body shouldBe "for /stock/3 "
                        connection.read()?.body shouldBe "for /stock/4 "
                        call(mesh.port, "/unknown")?.status shouldBe 404
                    }
                }
            }

            it("is forwarded in chunks when it exceeds all buffers") {
                val chunk = "x".repeat(10_000)
                withTarget({ connection ->
                    connection.read()
                    connection.send("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n")
                    repeat(300) { connection.send("2710\r\n$chunk\r\n") }
                    connection.send("0\r\n\r\n")
                    connection.read()
                }) { mesh ->
                    call(mesh.port, "/stock")?.body?.length shouldBe 3_000_000
                }
            }

            it("closes the caller's connection when it is truncated") {
                withTarget({ connection ->
                    connection.read()
                    connection.send("HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\nhalf")
                }) { mesh ->
                    connect(mesh.port).use { connection ->
                        connection.call("/orders") shouldBe null
                    }
                }
            }

            // Guards against a retry whose response is appended to the part that the caller has already received.
            it("is not continued by the response of another target when it is truncated") {
                val runs = AtomicInteger()
                val targets =
                    List(2) {
                        ScriptedTarget { connection ->
                            connection.read()
                            runs.incrementAndGet()
                            connection.send("HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\nhalf")
                            Thread.sleep(100)
                        }
                    }
                TestMesh(targets.map { it.port }).use { mesh ->
                    connect(mesh.port).use { connection ->
                        connection.send("GET /stock HTTP/1.1\r\nhost: a\r\n\r\n")
                        val received = connection.readToEnd()
                        received.split("HTTP/1.1 ").size - 1 shouldBe 1
                    }
                }
                runs.get() shouldBe 1
                targets.forEach { it.close() }
            }

            it("is an error with unknown outcome when it is malformed, oversized or without a length") {
                val huge = "x-huge: ${"a".repeat(40_000)}\r\n"
                val broken =
                    listOf(
                        "garbage\r\n\r\n",
                        "HTTP/1.1 200 OK\r\n\r\nno length",
                        "HTTP/1.1 200 OK\r\ncontent-length: 3\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n",
                        "HTTP/1.1 200 OK\r\n${huge}content-length: 0\r\n\r\n",
                        "HTTP/1.1 101 Switching Protocols\r\nupgrade: x\r\n\r\n",
                    )
                broken.forEach { text ->
                    withTarget({ connection ->
                        connection.read()
                        connection.send(text)
                    }) { mesh ->
                        val response = call(mesh.port, "/orders", "POST")
                        response?.status shouldBe 502
                        response?.outcome shouldBe "unknown"
                    }
                }
            }

            // Guards against a response that a target breaks off in its head and that reaches the caller as a whole one.
            it("is an error when it ends in the middle of its head, also where bodies may end with the connection") {
                val head = "HTTP/1.1 200 OK\r\nx-own: 1\r\ncontent-length: 3\r\nconnection: close\r\n\r\n"
                val lenient =
                    object : CallProtocol by MeshProtocol {
                        override val allowsCloseDelimitedResponses = true
                    }
                for (protocol in listOf(MeshProtocol, lenient)) {
                    for (cut in 1 until head.length) {
                        ScriptedTarget { connection ->
                            connection.read()
                            connection.send(head.take(cut))
                        }.use { target ->
                            val settings = ProxySettings(LOOPBACK_ANY, protocol = protocol, eventLoops = 1)
                            TestMesh(listOf(target.port), settings = settings).use { mesh ->
                                val response = call(mesh.port, "/orders", "POST")
                                response?.status shouldBe 502
                                response?.outcome shouldBe "unknown"
                            }
                        }
                    }
                }
            }

            it("does not reach another caller when it is duplicated") {
                val runs = AtomicInteger()
                withTarget({ connection ->
                    while (true) {
                        val request = connection.read() ?: break
                        runs.incrementAndGet()
                        val text = "for ${request.path}"
                        val response = "HTTP/1.1 200 OK\r\ncontent-length: ${text.length}\r\n\r\n$text"
                        connection.send(response + response)
                    }
                }) { mesh ->
                    connect(mesh.port).use { connection ->
                        repeat(20) { connection.call("/stock/$it")?.body shouldBe "for /stock/$it" }
                    }
                }
                runs.get() shouldBe 20
            }

            it("does not reach another caller when only a part of its duplicate precedes the next request") {
                val stale = "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nstale"
                // Splits the duplicate within the head, after it and within the body.
                listOf(20, stale.length - 5, stale.length - 2).forEach { cut ->
                    withTarget({ connection ->
                        while (true) {
                            val request = connection.read() ?: break
                            val text = "for ${request.path}"
                            val response = "HTTP/1.1 200 OK\r\ncontent-length: ${text.length}\r\n\r\n$text"
                            connection.send(response + stale.take(cut))
                            connection.read() ?: break
                            connection.send(stale.drop(cut))
                        }
                    }) { mesh ->
                        connect(mesh.port).use { connection ->
                            repeat(10) { connection.call("/stock/$it")?.body shouldBe "for /stock/$it" }
                        }
                    }
                }
            }

            it("does not reach another caller when it arrives after its caller has disconnected") {
                val asked = Signal<RawConnection>()
                withTarget({ connection ->
                    while (true) {
                        val request = connection.read() ?: break
                        if (request.path == "/stock/slow") {
                            asked.send(connection)
                        } else {
                            connection.respond("for ${request.path}")
                        }
                    }
                }) { mesh ->
                    val slow = connect(mesh.port)
                    slow.send("GET /stock/slow HTTP/1.1\r\nhost: a\r\n\r\n")
                    val late = asked.await()
                    slow.close()
                    awaitUntil("the exchange ends") { mesh.owners[0].inFlight == 0 }
                    runCatching { late.respond("for /stock/slow") }
                    repeat(10) { call(mesh.port, "/stock/$it")?.body shouldBe "for /stock/$it" }
                }
            }

            // Swapped responses of a target can only be detected if it echoes the identifier of the call.
            it("is refused when it carries the identifier of another call") {
                withTarget({ connection ->
                    connection.read()
                    connection.respond("foreign", headers = "x-baobabhollow-call: other\r\n")
                }) { mesh ->
                    val response = call(mesh.port, "/orders")
                    response?.status shouldBe 502
                    response.toString() shouldNotContain "foreign"
                    response.toString() shouldContain "malformed-answer"
                }
            }

            it("has no body when the request was HEAD") {
                withTarget({ connection ->
                    connection.read()
                    connection.send("HTTP/1.1 200 OK\r\ncontent-length: 500\r\n\r\n")
                    connection.read()
                    connection.respond("next")
                }) { mesh ->
                    connect(mesh.port).use { connection ->
                        connection.send("HEAD /stock HTTP/1.1\r\nhost: a\r\n\r\n")
                        connection.read(withBody = false)?.headers?.get("content-length") shouldBe "500"
                        connection.call("/stock")?.body shouldBe "next"
                    }
                }
            }
        }
    })
