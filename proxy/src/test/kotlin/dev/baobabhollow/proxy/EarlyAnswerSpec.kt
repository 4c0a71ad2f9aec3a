package dev.baobabhollow.proxy

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.shouldNotBe
import java.util.concurrent.atomic.AtomicInteger
import kotlin.concurrent.thread

private const val UPLOAD_BYTES = 4_000_000
private const val PIECE_BYTES = 50_000

/** Guards against responses that are cut off and reach the caller as complete ones. */
class EarlyAnswerSpec :
    DescribeSpec({
        val settings = ProxySettings(LOOPBACK_ANY, protocol = CLOSE_DELIMITED)

        /**
         * Sends a long request without its last [withheldBytes] while its response is read, and returns the response, or
         * null if it is incomplete.
         */
        fun upload(
            port: Int,
            pauseMillis: Long = 0,
            withheldBytes: Int = 0,
        ): Message? =
            connect(port).use { connection ->
                connection.send("POST /orders HTTP/1.1\r\nhost: a\r\ncontent-length: $UPLOAD_BYTES\r\n\r\n")
                val piece = "x".repeat(PIECE_BYTES)
                val sender =
                    thread(isDaemon = true) {
                        runCatching {
                            repeat((UPLOAD_BYTES - withheldBytes) / PIECE_BYTES) {
                                connection.send(piece)
                                if (pauseMillis > 0) Thread.sleep(pauseMillis)
                            }
                        }
                    }
                val response = connection.read()
                connection.close()
                sender.join()
                response
            }

        describe("a response without a length that precedes the end of a long upload") {
            // Guards against a reset that shows as a failed write and is taken for an orderly close.
            listOf(0L, 1L, 5L, 20L).forEach { delayMillis ->
                it("is never complete when the target resets the connection $delayMillis ms after it") {
                    val target =
                        ScriptedTarget { connection ->
                            connection.read(withBody = false)
                            connection.send("HTTP/1.1 200 OK\r\n\r\npart")
                            Thread.sleep(delayMillis)
                            connection.socket.setSoLinger(true, 0)
                        }
                    TestMesh(listOf(target.port), settings = settings).use { mesh ->
                        repeat(12) { run ->
                            val response =
                                upload(
                                    mesh.port,
                                    pauseMillis = run % 2L,
                                    withheldBytes =
                                        run % 3 * PIECE_BYTES,
                                )
                            if (response != null) {
                                response.status shouldBe 502
                                response.outcome shouldBe "unknown"
                            }
                        }
                    }
                    target.close()
                }
            }

            it("is never complete when the target closes the connection without reading the rest") {
                val target =
                    ScriptedTarget { connection ->
                        connection.read(withBody = false)
                        connection.send("HTTP/1.1 200 OK\r\n\r\npart")
                        Thread.sleep(20)
                    }
                TestMesh(listOf(target.port), settings = settings).use { mesh ->
                    repeat(20) {
                        val response = upload(mesh.port, withheldBytes = PIECE_BYTES)
                        withClue(response.toString()) { if (response != null) response.status shouldBe 502 }
                    }
                }
                target.close()
            }

            it("is complete after an orderly close when the target has read the request") {
                val target =
                    ScriptedTarget { connection ->
                        connection.read()
                        connection.send("HTTP/1.1 200 OK\r\n\r\nwhole")
                    }
                TestMesh(listOf(target.port), settings = settings).use { mesh ->
                    upload(mesh.port)?.body shouldBe "whole"
                }
                target.close()
            }
        }

        describe("a response with a length that precedes the end of a long upload") {
            // Guards against the rest of an upload that reaches the target as another request.
            it("reaches the caller, and nothing else is sent on the connection to the target") {
                val runs = AtomicInteger()
                val target =
                    ScriptedTarget { connection ->
                        while (true) {
                            val request = connection.read(withBody = false) ?: break
                            runs.incrementAndGet()
                            connection.respond("for ${request.path}")
                            val length = request.headers["content-length"]?.toInt() ?: 0
                            if (connection.readBytes(length).length < length) break
                        }
                    }
                TestMesh(listOf(target.port), settings = settings).use { mesh ->
                    repeat(5) {
                        upload(mesh.port, pauseMillis = 1)?.body shouldBe "for /orders"
                        call(mesh.port, "/stock/1")?.body shouldBe "for /stock/1"
                    }
                }
                runs.get() shouldBe 10
                target.close()
            }

            it("reaches the caller or is an error when the target resets the connection, and is never cut off") {
                val target =
                    ScriptedTarget { connection ->
                        connection.read(withBody = false)
                        connection.respond("early", headers = "connection: close\r\n")
                        connection.socket.setSoLinger(true, 0)
                    }
                TestMesh(listOf(target.port), settings = settings).use { mesh ->
                    repeat(20) {
                        val response = upload(mesh.port)
                        response shouldNotBe null
                        if (response?.status == 200) response.body shouldBe "early" else response?.status shouldBe 502
                    }
                }
                target.close()
            }
        }
    })
