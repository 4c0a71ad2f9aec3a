package dev.baobabhollow.proxy

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.longs.shouldBeLessThan
import io.kotest.matchers.shouldBe
import io.netty.buffer.ByteBufAllocator
import io.netty.buffer.ByteBufAllocatorMetricProvider
import java.util.concurrent.atomic.AtomicLong

private const val BODY_BYTES = 64 * 1024 * 1024
private const val CHUNK_BYTES = 65_536

/** Guards against bodies that accumulate in a node when the receiver is slower than the sender. */
class BackPressureSpec :
    DescribeSpec({
        val chunk = "x".repeat(CHUNK_BYTES)

        fun allocatedBytes(): Long {
            val metric = (ByteBufAllocator.DEFAULT as ByteBufAllocatorMetricProvider).metric()
            return metric.usedDirectMemory() + metric.usedHeapMemory()
        }

        describe("a long body") {
            it("is not read faster from the target than the caller reads it") {
                val target =
                    ScriptedTarget { connection ->
                        connection.read()
                        connection.send("HTTP/1.1 200 OK\r\ncontent-length: $BODY_BYTES\r\n\r\n")
                        repeat(BODY_BYTES / CHUNK_BYTES) { connection.send(chunk) }
                        connection.read()
                    }
                TestMesh(listOf(target.port), timeoutMillis = 60_000).use { mesh ->
                    val connection = connect(mesh.port)
                    connection.socket.receiveBufferSize = CHUNK_BYTES
                    connection.send("GET /stock HTTP/1.1\r\nhost: a\r\n\r\n")
                    connection.read(withBody = false)?.status shouldBe 200
                    val before = allocatedBytes()
                    var peakBytes = 0L
                    var received = 0
                    repeat(BODY_BYTES / CHUNK_BYTES) {
                        received += connection.readBytes(CHUNK_BYTES).length
                        peakBytes = maxOf(peakBytes, allocatedBytes() - before)
                    }
                    received shouldBe BODY_BYTES
                    peakBytes shouldBeLessThan BODY_BYTES / 4L
                }
                target.close()
            }

            it("is not read faster from the caller than the target reads it") {
                val received = AtomicLong()
                val peakBytes = AtomicLong()
                val before = allocatedBytes()
                val target =
                    ScriptedTarget { connection ->
                        connection.socket.receiveBufferSize = CHUNK_BYTES
                        connection.read(withBody = false)
                        repeat(BODY_BYTES / CHUNK_BYTES) {
                            received.addAndGet(connection.readBytes(CHUNK_BYTES).length.toLong())
                            peakBytes.accumulateAndGet(allocatedBytes() - before, ::maxOf)
                        }
                        connection.respond("done")
                    }
                TestMesh(listOf(target.port), timeoutMillis = 60_000).use { mesh ->
                    val connection = connect(mesh.port)
                    connection.send("POST /drawings HTTP/1.1\r\nhost: a\r\ncontent-length: $BODY_BYTES\r\n\r\n")
                    repeat(BODY_BYTES / CHUNK_BYTES) { connection.send(chunk) }
                    connection.read()?.body shouldBe "done"
                }
                received.get() shouldBe BODY_BYTES.toLong()
                peakBytes.get() shouldBeLessThan BODY_BYTES / 4L
                target.close()
            }
        }
    })
