package dev.baobabhollow.proxy

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import java.util.concurrent.atomic.AtomicInteger
import kotlin.concurrent.thread

/** Guards against slots that leak or are held without need, and against calls that are aborted by a planned stop. */
class CallLifecycleSpec :
    DescribeSpec({
        class PendingCall(
            val request: Message,
            val connection: RawConnection,
        )

        /** Reports each request and leaves the response to the test. */
        fun blockingTarget(pendingCalls: Signal<PendingCall>) =
            ScriptedTarget { connection ->
                while (true) pendingCalls.send(PendingCall(connection.read() ?: break, connection))
            }

        fun RawConnection.start(
            path: String,
            headers: String = "",
        ) = send("GET $path HTTP/1.1\r\nhost: a\r\n$headers\r\n")

        describe("draining") {
            it("refuses new calls as not run and lets those in flight finish") {
                val pendingCalls = Signal<PendingCall>()
                blockingTarget(pendingCalls).use { target ->
                    TestMesh(listOf(target.port)).use { mesh ->
                        val idle = connect(mesh.port)
                        idle.start("/stock/0")
                        pendingCalls.await().connection.respond("0")
                        idle.read()?.status shouldBe 200
                        val running = connect(mesh.port)
                        running.start("/stock/1")
                        val call = pendingCalls.await()
                        val left = Signal<Int>()
                        thread { left.send(mesh.owners[0].drain(System.currentTimeMillis() + 20_000)) }
                        // Uses a path without a route, because a routed call before the drain would wait.
                        awaitUntil("the owner drains") {
                            call(mesh.owners[0].peerCallPort, "/none")?.reason ==
                                "draining"
                        }
                        call(mesh.port, "/stock/2")?.reason shouldBe "draining"
                        thread { mesh.entry.drain(System.currentTimeMillis() + 20_000) }
                        awaitUntil("the entry node refuses") { call(mesh.port, "/none")?.reason == "draining" }
                        val refused = idle.call("/stock/3")
                        refused?.status shouldBe 503
                        refused?.outcome shouldBe "not-run"
                        refused?.headers?.get("connection") shouldBe "close"
                        call.connection.respond("whole")
                        running.read()?.body shouldBe "whole"
                        left.await() shouldBe 0
                    }
                }
            }

            it("returns the number of calls still in flight at its deadline") {
                val pendingCalls = Signal<PendingCall>()
                blockingTarget(pendingCalls).use { target ->
                    TestMesh(listOf(target.port)).use { mesh ->
                        connect(mesh.port).start("/stock/1")
                        pendingCalls.await()
                        mesh.owners[0].drain(System.currentTimeMillis()) shouldBe 1
                    }
                }
            }
        }

        // Guards against calls that are taken shortly before a stop and end with a closed connection.
        describe("the end of a planned stop") {
            it("gives each call in flight a final answer, and says of one that was not sent that it has not run") {
                val pendingCalls = Signal<PendingCall>()
                blockingTarget(pendingCalls).use { target ->
                    val mesh = TestMesh(listOf(target.port), slots = 1)
                    val running = connect(mesh.port)
                    running.send("POST /orders/1 HTTP/1.1\r\nhost: a\r\ncontent-length: 0\r\n\r\n")
                    pendingCalls.await()
                    val incomplete = connect(mesh.owners[0].callersPort)
                    incomplete.send("POST /orders/2 HTTP/1.1\r\nhost: a\r\ncontent-length: 6\r\n\r\nabc")
                    awaitUntil("both calls are open") { mesh.owners[0].inFlight == 2 }
                    listOf(mesh.entry, mesh.owners[0]).forEach {
                        it.drain(System.currentTimeMillis())
                        it.close()
                    }
                    val unknown = running.read()
                    unknown?.status shouldBe 502
                    unknown?.outcome shouldBe "unknown"
                    val notRun = incomplete.read()
                    notRun?.status shouldBe 503
                    notRun?.outcome shouldBe "not-run"
                    mesh.close()
                }
            }

            it("refuses calls that may not be repeated and may last longer, and serves all others") {
                val runs = AtomicInteger()
                ScriptedTarget.responding(runs) { respond("ok") }.use { target ->
                    TestMesh(listOf(target.port)).use { mesh ->
                        mesh.entry.announceClose(System.currentTimeMillis() + 5_000)
                        val refused = call(mesh.port, "/orders/1", "POST")
                        refused?.status shouldBe 503
                        refused?.outcome shouldBe "not-run"
                        val soon = System.currentTimeMillis() + 1_000
                        call(mesh.port, "/orders/2", "POST", "x-baobabhollow-deadline: $soon\r\n")?.body shouldBe "ok"
                        call(mesh.port, "/stock/1")?.body shouldBe "ok"
                    }
                }
                runs.get() shouldBe 2
            }
        }

        describe("a caller that closes its connection") {
            it("ends the call at the target and frees the slot") {
                val pendingCalls = Signal<PendingCall>()
                blockingTarget(pendingCalls).use { target ->
                    TestMesh(listOf(target.port), slots = 1).use { mesh ->
                        repeat(5) {
                            val caller = connect(mesh.port)
                            caller.start("/orders/$it")
                            val call = pendingCalls.await()
                            caller.close()
                            awaitUntil("the slot is free") { mesh.owners[0].loadPermille == 0 }
                            call.connection.socket.isClosed || call.connection.read() == null
                        }
                        val caller = connect(mesh.port)
                        caller.start("/orders/last")
                        pendingCalls.await().connection.respond("done")
                        caller.read()?.body shouldBe "done"
                    }
                }
            }
        }

        describe("a call with a deadline") {
            it("is not started when the deadline has passed") {
                val runs = AtomicInteger()
                ScriptedTarget.responding(runs) { respond("late") }.use { target ->
                    TestMesh(listOf(target.port)).use { mesh ->
                        val past = System.currentTimeMillis() - 1
                        val response = call(mesh.port, "/stock", headers = "x-baobabhollow-deadline: $past\r\n")
                        response?.status shouldBe 504
                        response?.outcome shouldBe "not-run"
                    }
                }
                runs.get() shouldBe 0
            }

            it("is not started when the deadline passes in the queue") {
                val pendingCalls = Signal<PendingCall>()
                blockingTarget(pendingCalls).use { target ->
                    TestMesh(listOf(target.port), slots = 1).use { mesh ->
                        connect(mesh.port).start("/stock/1")
                        val first = pendingCalls.await()
                        val soon = System.currentTimeMillis() + 60
                        val route = "x-baobabhollow-route: orders\r\nx-baobabhollow-release: 1\r\n"
                        val headers = "${route}x-baobabhollow-deadline: $soon\r\n"
                        // Calls the owner, because an entry node whose timer fires first can only report "unknown".
                        val response = call(mesh.owners[0].peerCallPort, "/orders/2", headers = headers)
                        response?.status shouldBe 504
                        response?.outcome shouldBe "not-run"
                        first.connection.respond("done")
                        val third = connect(mesh.port)
                        third.start("/stock/3")
                        pendingCalls.await().request.path shouldBe "/stock/3"
                    }
                }
            }

            it("ends with an unknown outcome when the target is too slow, and gets a shorter deadline at each hop") {
                val pendingCalls = Signal<PendingCall>()
                blockingTarget(pendingCalls).use { target ->
                    TestMesh(listOf(target.port)).use { mesh ->
                        val soon = System.currentTimeMillis() + 150
                        val response = call(mesh.port, "/orders/1", headers = "x-baobabhollow-deadline: $soon\r\n")
                        response?.status shouldBe 504
                        response?.outcome shouldBe "unknown"
                        pendingCalls
                            .await()
                            .request.headers["x-baobabhollow-deadline"]
                            ?.toLong() shouldBe soon - 4
                        awaitUntil("the slot is free") { mesh.owners[0].loadPermille == 0 }
                    }
                }
            }
        }

        describe("a slow upload") {
            it("holds no slot before its body has arrived") {
                val target = ScriptedTarget.responding { respond("got ${it.body}") }
                target.use {
                    TestMesh(listOf(target.port), slots = 1).use { mesh ->
                        val upload = connect(mesh.port)
                        upload.send("POST /drawings HTTP/1.1\r\nhost: a\r\ncontent-length: 6\r\n\r\nabc")
                        awaitUntil("the upload has reached the owner") { mesh.owners[0].inFlight == 1 }
                        repeat(5) { call(mesh.port, "/stock/$it")?.status shouldBe 200 }
                        upload.send("def")
                        upload.read()?.body shouldBe "got abcdef"
                    }
                }
            }

            it("leaves slots to lookups while its long body is on the way") {
                val target = ScriptedTarget.responding { respond("${it.body.length}") }
                target.use {
                    TestMesh(listOf(target.port), slots = 2).use { mesh ->
                        val uploads = List(3) { connect(mesh.port) }
                        uploads.forEach { connection ->
                            connection.send("POST /drawings HTTP/1.1\r\nhost: a\r\ncontent-length: 200001\r\n\r\n")
                            connection.send("x".repeat(200_000))
                        }
                        awaitUntil("an upload holds a slot") { mesh.owners[0].loadPermille >= 500 }
                        repeat(5) { call(mesh.port, "/stock/$it")?.status shouldBe 200 }
                        uploads.forEach { it.send("x") }
                        uploads.forEach { it.read()?.body shouldBe "200001" }
                    }
                }
            }
        }
    })
