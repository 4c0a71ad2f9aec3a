package dev.baobabhollow.proxy

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.ints.shouldBeLessThan
import io.kotest.matchers.longs.shouldBeLessThan
import io.kotest.matchers.shouldBe
import java.util.concurrent.atomic.AtomicInteger

private const val CHUNK = "8\r\n12345678\r\n"
private const val CHUNKS = 40_000
private const val BODY_BYTES = CHUNKS * 8

/** Guards against chunks of a few bytes that end a node, because each of them takes some hundred bytes (review/2). */
class ShortChunksSpec :
    DescribeSpec({
        fun heapBytes(): Long {
            System.gc()
            return Runtime.getRuntime().let { it.totalMemory() - it.freeMemory() }
        }

        describe("bodies in short chunks") {
            it("take memory in proportion to their bytes while they wait for a target") {
                val uploads = 8
                val release = Signal<Unit>()
                val target =
                    ScriptedTarget { connection ->
                        connection.read(withBody = false)
                        release.await()
                    }
                val settings = ProxySettings(LOOPBACK_ANY, maxReplayBytes = BODY_BYTES * 2)
                TestMesh(listOf(target.port), slots = 1, settings = settings).use { mesh ->
                    val before = heapBytes()
                    val callers =
                        List(uploads) {
                            connect(mesh.port).apply {
                                send("POST /drawings/$it HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n")
                                // The last chunk is missing, so that all bodies are held.
                                val sending = Thread { runCatching { send(CHUNK.repeat(CHUNKS)) } }
                                sending.isDaemon = true
                                sending.start()
                            }
                        }
                    awaitUntil("the calls are open") { mesh.entry.inFlight == uploads }
                    Thread.sleep(1_000)
                    heapBytes() - before shouldBeLessThan uploads * BODY_BYTES * 2L
                    repeat(uploads) { release.send(Unit) }
                    callers.forEach { it.close() }
                }
                target.close()
            }

            it("are forwarded in long ones, and so are responses") {
                val requestChunks = AtomicInteger()
                val target =
                    ScriptedTarget { connection ->
                        connection.read(withBody = false)
                        val body = StringBuilder()
                        while (!body.endsWith("0\r\n\r\n")) body.append(connection.readBytes(1))
                        requestChunks.set(body.split("\r\n").size / 2 - 1)
                        connection.send("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n")
                        connection.send(CHUNK.repeat(CHUNKS) + "0\r\n\r\n")
                    }
                TestMesh(listOf(target.port)).use { mesh ->
                    val caller = connect(mesh.port)
                    caller.send("POST /drawings/1 HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n")
                    caller.send(CHUNK.repeat(CHUNKS) + "0\r\n\r\n")
                    caller.read(withBody = false)?.status shouldBe 200
                    var received = 0
                    var responseChunks = 0
                    while (true) {
                        val size = generateSequence { caller.readBytes(1) }.takeWhile { it != "\n" }.joinToString("")
                        val length = size.trim().toInt(16)
                        caller.readBytes(length + 2)
                        if (length == 0) break
                        received += length
                        responseChunks++
                    }
                    received shouldBe BODY_BYTES
                    requestChunks.get() shouldBeLessThan CHUNKS / 20
                    responseChunks shouldBeLessThan CHUNKS / 20
                }
                target.close()
            }
        }
    })
