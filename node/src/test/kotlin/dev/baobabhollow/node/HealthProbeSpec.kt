package dev.baobabhollow.node

import dev.baobabhollow.model.Endpoint
import dev.baobabhollow.model.ReleaseId
import dev.baobabhollow.model.ServiceId
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.longs.shouldBeLessThan
import io.kotest.matchers.shouldBe
import java.io.OutputStream
import java.net.InetAddress
import java.net.ServerSocket
import java.util.concurrent.TimeUnit
import kotlin.concurrent.thread

private const val TIMEOUT_MILLIS = 300L

/** Several timeouts, and far less than a response without end lasts. */
private const val RETURNED_MILLIS = 3_000L

class HealthProbeSpec :
    DescribeSpec({
        /** Returns the result of a probe of a target that responds by [respond]. */
        fun probe(respond: (OutputStream) -> Unit): HealthResponse =
            ServerSocket(0, 50, InetAddress.getByName("127.0.0.1")).use { server ->
                thread(isDaemon = true) {
                    runCatching {
                        server.accept().use { socket ->
                            socket.getInputStream().read()
                            respond(socket.getOutputStream())
                            socket.shutdownOutput()
                            while (socket.getInputStream().read() >= 0) Unit
                        }
                    }
                }
                val endpoint = Endpoint("127.0.0.1", server.localPort)
                val target = TargetSettings(endpoint, ServiceId("s"), ReleaseId("1"), 1, 1)
                HealthProbe(target.copy(healthTimeoutMillis = TIMEOUT_MILLIS)).use { it.probe() }
            }

        fun probeText(text: String) = probe { it.write(text.toByteArray()) }

        describe("a health probe") {
            it("reads the status, and draining from the body, with and without a length") {
                probeText("HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok") shouldBe HealthResponse.HEALTHY
                probeText("HTTP/1.1 200 OK\r\n\r\nok") shouldBe HealthResponse.HEALTHY
                probeText("HTTP/1.1 503 No\r\n\r\nstate: draining") shouldBe HealthResponse.DRAINING
                probeText("HTTP/1.1 503 No\r\ncontent-length: 0\r\n\r\n") shouldBe HealthResponse.FAILED
                probeText("HTTP/1.1 500 No\r\ncontent-length: 0\r\n\r\n") shouldBe HealthResponse.FAILED
                probeText("HTTP/1.1 200 OK\r\ncontent-le") shouldBe HealthResponse.FAILED
            }

            // Guards against a target that sends without end until the node runs out of memory.
            mapOf(
                "a head" to "HTTP/1.1 200 OK\r\n",
                "a body" to "HTTP/1.1 503 No\r\n\r\n",
            ).forEach { (what, start) ->
                it("fails soon when a response goes on without end in $what") {
                    val begin = System.nanoTime()
                    probe { output ->
                        output.write(start.toByteArray())
                        val piece = "x-more: ${"y".repeat(500)}\r\n".toByteArray()
                        // Bounded, so that a probe that reads everything ends too.
                        repeat(100_000) { output.write(piece) }
                    } shouldBe HealthResponse.FAILED
                    TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - begin) shouldBeLessThan RETURNED_MILLIS
                }
            }
        }
    })
