package dev.baobabhollow.proxy

import dev.baobabhollow.calls.Route
import dev.baobabhollow.calls.SlotRequest
import dev.baobabhollow.calls.Ticket
import dev.baobabhollow.model.ReleaseId
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import io.netty.buffer.Unpooled
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import io.netty.handler.codec.http.DefaultHttpContent
import io.netty.handler.codec.http.DefaultHttpRequest
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpVersion

private const val LIMIT = 8L * 1024 * 1024
private const val CALL_MILLIS = 10_000L

/** Guards against what a call that is refused for lack of memory leaves behind at the node that refuses it. */
class MemoryRefusalSpec :
    DescribeSpec({
        val settings = ProxySettings(LOOPBACK_ANY, maxHeldBytes = LIMIT)

        class FailureLog : ResponseListener {
            val failures = mutableListOf<CallFailure>()

            override fun onFailure(failure: CallFailure) {
                failures += failure
            }

            override fun onResponseHead(head: HttpResponse) = Unit

            override fun onResponseBody(content: HttpContent) {
                content.release()
            }

            override fun onResponseReadComplete() = Unit

            override fun onWritabilityChanged() = Unit
        }

        /** Runs [test] on an event loop with an upload to the target of an owner, which has one slot. */
        fun withUpload(test: (NodeCore, Route, TargetCall, FailureLog) -> Unit) {
            val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
            ScriptedTarget.responding { respond("ok") }.use { target ->
                TestMesh(listOf(target.port), slots = 1, settings = settings).use { mesh ->
                    val node = mesh.owners[0].node
                    val route = checkNotNull(mesh.table.match("/drawings/1"))
                    val loop = group.next()
                    val listener = FailureLog()
                    loop
                        .submit {
                            val deadline = node.nowMillis() + CALL_MILLIS
                            val deadlines = CallDeadlines(deadline, deadline)
                            val call = TargetCall(node, loop, route, ReleaseId("1"), "call", deadlines, listener)
                            call.start(DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST, "/drawings/1"))
                            test(node, route, call, listener)
                        }.sync()
                }
            }
            group.shutdownGracefully()
        }

        fun NodeCore.takeSlot(route: Route): Ticket {
            val member = route.service.config.member
            val request = SlotRequest(member, route.id, route.config.callClass, nowMillis() + CALL_MILLIS)
            return admission.submit(request, nowMicros(), nowMillis()) {}
        }

        fun part(bytes: Int) = DefaultHttpContent(Unpooled.wrappedBuffer(ByteArray(bytes)))

        describe("a call that is refused for lack of memory") {
            // Guards against a slot that is granted to the refused call and never released.
            it("leaves the queue for a slot") {
                withUpload { node, route, call, listener ->
                    val other = node.takeSlot(route)
                    call.body(part(node.settings.bodyBufferBytes))
                    node.admission.waiting shouldBe 1
                    node.memory.add(LIMIT)
                    call.body(part(1))
                    listener.failures.map { it.reason } shouldBe listOf(FailureReason.MEMORY_LIMIT)
                    node.admission.waiting shouldBe 0
                    node.admission.end(other, node.nowMicros(), node.nowMillis())
                    node.admission.inUse shouldBe 0
                }
            }

            // Guards against a good release that is taken back because its node ran short of memory.
            it("does not count as an error of its target's release") {
                withUpload { node, _, call, listener ->
                    call.body(part(node.settings.bodyBufferBytes))
                    node.admission.inUse shouldBe 1
                    node.memory.add(LIMIT)
                    call.body(part(1))
                    listener.failures.map { it.reason } shouldBe listOf(FailureReason.MEMORY_LIMIT)
                    node.admission.inUse shouldBe 0
                    node.recorder.drainOutcomes(node.self, node.nowMillis()) shouldBe emptyList()
                }
            }

            // Guards against requests that run behind a response that closes their connection, so that callers repeat them.
            it("keeps the connection if its whole request was read while it waited for its turn") {
                val started = Signal<Unit>()
                val release = Signal<Unit>()
                val target = ScriptedTarget.holding("/orders/slow", started, release)
                TestMesh(listOf(target.port), settings = settings).use { mesh ->
                    val caller = connect(mesh.port)
                    caller.send("POST /orders/slow HTTP/1.1\r\nhost: a\r\ncontent-length: 0\r\n\r\n")
                    started.await()
                    val memory = mesh.entry.node.memory
                    memory.add(LIMIT)
                    val refused = "POST /drawings/1 HTTP/1.1\r\nhost: a\r\ncontent-length: 4\r\n\r\nbody"
                    caller.send(refused + "GET /stock/1 HTTP/1.1\r\nhost: a\r\n\r\n")
                    awaitUntil("all requests are read") { mesh.entry.inFlight == 3 }
                    memory.add(-LIMIT)
                    release.send(Unit)
                    caller.read()?.body shouldBe "ok"
                    val answer = caller.read()
                    answer?.reason shouldBe "memory-limit"
                    answer?.headers?.get("connection") shouldBe null
                    caller.read()?.body shouldBe "ok"
                }
                target.close()
            }
        }
    })
