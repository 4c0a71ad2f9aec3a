package dev.baobabhollow.node

import dev.baobabhollow.model.Endpoint
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.shouldBe
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import java.net.ServerSocket
import java.net.Socket
import java.net.SocketTimeoutException
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import java.util.concurrent.CompletableFuture

class OperatorServerSpec :
    DescribeSpec({
        fun serverThatResponds(endpoint: Endpoint) =
            OperatorServer(endpoint, maxBodyBytes = 65_536) {
                CompletableFuture.completedFuture(OperatorResponse(200, "{}"))
            }

        fun open(
            endpoint: Endpoint,
            text: String,
        ) = Socket(endpoint.host, endpoint.port).apply {
            soTimeout = 500
            getOutputStream().write(text.encodeToByteArray())
        }

        /** True if the server closes the connection; a close with unread bytes is a reset. */
        fun isClosed(socket: Socket) =
            runCatching { socket.getInputStream().read() < 0 }.getOrElse { it !is SocketTimeoutException }

        describe("a server with many connections") {
            // Guards against a node that ends for lack of memory because bodies on its operators' port are never finished.
            it("closes the longest idle ones and keeps serving") {
                val endpoint = ServerSocket(0).use { Endpoint("127.0.0.1", it.localPort) }
                serverThatResponds(endpoint).use { server ->
                    server.start()
                    val unfinished =
                        List(200) {
                            Socket(endpoint.host, endpoint.port).apply {
                                soTimeout = 2_000
                                val head = "POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 60000\r\n\r\n"
                                getOutputStream().write(head.encodeToByteArray() + ByteArray(30_000))
                            }
                        }
                    val request = HttpRequest.newBuilder(URI("http://$endpoint/")).build()
                    val response = HttpClient.newHttpClient().send(request, HttpResponse.BodyHandlers.ofString())
                    response.statusCode() shouldBe 200
                    unfinished.take(160).forEach { isClosed(it) shouldBe true }
                    unfinished.forEach { it.close() }
                }
            }
        }

        describe("a server with incomplete requests of many header lines") {
            // Guards against a node that ends for lack of memory because heads on its operators' port are never finished.
            listOf("incomplete heads" to "", "heads without their body" to "\r\n").forEach { (name, end) ->
                it("closes those that hold most, keeps short ones and serves a whole one: $name") {
                    val endpoint = ServerSocket(0).use { Endpoint("127.0.0.1", it.localPort) }
                    serverThatResponds(endpoint).use { server ->
                        server.start()
                        val start = "POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 10\r\n"
                        val long = start + "a:b\r\n".repeat(1_600) + end
                        val short = open(endpoint, start + end)
                        val unfinished = List(25) { open(endpoint, long) }
                        unfinished.count { isClosed(it) } shouldBeGreaterThan 12
                        short.getOutputStream().write(
                            (if (end.isEmpty()) "\r\n0123456789" else "0123456789").encodeToByteArray(),
                        )
                        short.getInputStream().readNBytes(12).decodeToString() shouldBe "HTTP/1.1 200"
                        unfinished.forEach { it.close() }
                        val whole = open(endpoint, start + "a:b\r\n".repeat(1_600) + "\r\n0123456789")
                        whole.getInputStream().readNBytes(12).decodeToString() shouldBe "HTTP/1.1 200"
                        listOf(short, whole).forEach { it.close() }
                    }
                }
            }
        }

        describe("two servers with a shared event loop group") {
            // Guards against an exception at shutdown because closing the first server ended the threads of both.
            it("can be closed separately, and the second one keeps serving") {
                val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
                val (first, second) =
                    List(2) { ServerSocket(0).use { Endpoint("127.0.0.1", it.localPort) } }
                        .map { endpoint ->
                            endpoint to
                                OperatorServer(endpoint, 1_000, group) {
                                    CompletableFuture.completedFuture(OperatorResponse(200, "{}"))
                                }
                        }
                first.second.start()
                second.second.start()
                first.second.close()
                val request = HttpRequest.newBuilder(URI("http://${second.first}/")).build()
                val response = HttpClient.newHttpClient().send(request, HttpResponse.BodyHandlers.ofString())
                response.statusCode() shouldBe 200
                second.second.close()
                group.shutdownGracefully()
            }
        }
    })
