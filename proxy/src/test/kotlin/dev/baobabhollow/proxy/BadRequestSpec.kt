package dev.baobabhollow.proxy

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import java.util.concurrent.atomic.AtomicInteger

/** Guards against requests whose end or route two servers could interpret differently, and against unbounded memory. */
class BadRequestSpec :
    DescribeSpec({
        val runs = AtomicInteger()
        val target = autoClose(ScriptedTarget.responding(runs) { respond("ran") })
        val settings = ProxySettings(LOOPBACK_ANY, maxRequestBodyBytes = 1_000_000)
        val mesh = autoClose(TestMesh(listOf(target.port), settings = settings))
        val host = "host: a\r\n"

        fun check(
            text: String,
            status: Int,
        ) {
            val before = runs.get()
            listOf(mesh.port, mesh.owners[0].peerCallPort).forEach { port ->
                connect(port).use { connection ->
                    connection.send(text)
                    val response = connection.read()
                    response?.status shouldBe status
                    response?.outcome shouldBe "not-run"
                    connection.readToEnd() shouldBe ""
                }
            }
            runs.get() shouldBe before
        }

        describe("a malformed request gets an error and a closed connection") {
            it("when it is garbage") { check("garbage\r\n\r\n", 400) }
            it(
                "when its headers are too large",
            ) { check("GET /stock HTTP/1.1\r\nx: ${"a".repeat(20_000)}\r\n\r\n", 431) }
            it("when its start line is too long") { check("GET /${"a".repeat(9_000)} HTTP/1.1\r\n\r\n", 431) }
            it("when it has two kinds of length") {
                val both = "content-length: 4\r\ntransfer-encoding: chunked\r\n"
                check("POST /stock HTTP/1.1\r\n$host$both\r\n0\r\n\r\n", 400)
            }
            it("when it has two lengths") {
                check("POST /stock HTTP/1.1\r\n${host}content-length: 1\r\ncontent-length: 2\r\n\r\nab", 400)
            }
            it("when its transfer encoding is not plainly chunked") {
                check("POST /stock HTTP/1.1\r\n${host}transfer-encoding: gzip, chunked\r\n\r\n0\r\n\r\n", 400)
                check("POST /stock HTTP/1.1\r\n${host}transfer-encoding: xchunked\r\n\r\n0\r\n\r\n", 400)
            }
            it("when its version is not supported") { check("GET /stock HTTP/1.0\r\n$host\r\n", 505) }
            it("when it has no host or two") {
                check("GET /stock HTTP/1.1\r\n\r\n", 400)
                check("GET /stock HTTP/1.1\r\n$host$host\r\n", 400)
            }
        }

        describe("a request whose path a target could resolve differently") {
            it("is refused") {
                listOf("/stock/../orders", "/stock/%2e%2e/orders", "/stock/.%2E", "/stock/%zz", "/stock/%").forEach {
                    connect(mesh.port).use { connection ->
                        connection.call(it)?.status shouldBe 400
                        connection.readToEnd() shouldBe ""
                    }
                }
            }

            // An escaped letter must not make a request bypass the rules of its route.
            it("is routed by its decoded path") {
                call(mesh.port, "/%6frders")?.status shouldBe 200
                call(mesh.port, "/%73tock/a%20b")?.status shouldBe 200
            }
        }

        describe("a request body") {
            it("is refused when it is announced as too long") {
                val response = call(mesh.port, "/drawings", "POST", headers = "content-length: 1000001\r\n")
                response?.status shouldBe 413
                response?.outcome shouldBe "not-run"
            }

            it("is refused when it grows too long") {
                connect(mesh.port).use { connection ->
                    connection.send("POST /drawings HTTP/1.1\r\n${host}transfer-encoding: chunked\r\n\r\n")
                    val chunk = "186a0\r\n${"x".repeat(100_000)}\r\n"
                    repeat(11) { connection.send(chunk) }
                    connection.read()?.status shouldBe 413
                }
            }

            it("closes the connection and is never forwarded as complete when a chunk is malformed") {
                val before = runs.get()
                connect(mesh.port).use { connection ->
                    connection.send(
                        "POST /drawings HTTP/1.1\r\n${host}transfer-encoding: chunked\r\n\r\n4\r\nabcd\r\nzz\r\n",
                    )
                    connection.readToEnd() shouldBe ""
                }
                runs.get() shouldBe before
            }
        }
    })
