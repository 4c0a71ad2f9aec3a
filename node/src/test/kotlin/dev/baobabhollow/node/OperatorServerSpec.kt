package dev.baobabhollow.node

import dev.baobabhollow.model.Endpoint
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import java.net.ServerSocket
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import java.util.concurrent.CompletableFuture

class OperatorServerSpec :
    DescribeSpec({
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
