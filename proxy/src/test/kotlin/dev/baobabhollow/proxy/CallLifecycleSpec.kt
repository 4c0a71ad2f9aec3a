package dev.baobabhollow.proxy

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import java.util.concurrent.atomic.AtomicInteger
import kotlin.concurrent.thread

/** Guards against slots that leak or are held for nothing, and against calls that a planned stop cuts off. */
class CallLifecycleSpec :
    DescribeSpec({
        class Held(
            val request: Message,
            val connection: RawConnection,
        )

        /** Reports each request and leaves the response to the test. */
        fun blockingTarget(held: Signal<Held>) =
            ScriptedTarget { connection ->
                while (true) held.send(Held(connection.read() ?: break, connection))
            }

        fun RawConnection.start(
            path: String,
            headers: String = "",
        ) = send("GET $path HTTP/1.1\r\nhost: a\r\n$headers\r\n")

        describe("draining") {
            it("refuses new calls as not run and lets those in flight finish") {
                val held = Signal<Held>()
                blockingTarget(held).use { target ->
                    TestMesh(listOf(target.port)).use { mesh ->
                        val idle = connect(mesh.port)
                        idle.start("/stock/0")
                        held.await().connection.respond("0")
                        idle.read()?.status shouldBe 200
                        val running = connect(mesh.port)
                        running.start("/stock/1")
                        val call = held.await()
                        val left = Signal<Int>()
                        thread { left.send(mesh.owners[0].drain(System.currentTimeMillis() + 20_000)) }
                        // Asks without a route, because a call that came before the drain would wait for the target.
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

            it("returns the number of calls that are left at its deadline") {
                val held = Signal<Held>()
                blockingTarget(held).use { target ->
                    TestMesh(listOf(target.port)).use { mesh ->
                        connect(mesh.port).start("/stock/1")
                        held.await()
                        mesh.owners[0].drain(System.currentTimeMillis()) shouldBe 1
                    }
                }
            }
        }

        describe("a caller that closes its connection") {
            it("ends the call at the target and frees the slot") {
                val held = Signal<Held>()
                blockingTarget(held).use { target ->
                    TestMesh(listOf(target.port), slots = 1).use { mesh ->
                        repeat(5) {
                            val caller = connect(mesh.port)
                            caller.start("/orders/$it")
                            val call = held.await()
                            caller.close()
                            awaitUntil("the slot is free") { mesh.owners[0].loadPermille == 0 }
                            call.connection.socket.isClosed || call.connection.read() == null
                        }
                        val caller = connect(mesh.port)
                        caller.start("/orders/last")
                        held.await().connection.respond("done")
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
                val held = Signal<Held>()
                blockingTarget(held).use { target ->
                    TestMesh(listOf(target.port), slots = 1).use { mesh ->
                        connect(mesh.port).start("/stock/1")
                        val first = held.await()
                        val soon = System.currentTimeMillis() + 60
                        val route = "x-baobabhollow-route: orders\r\nx-baobabhollow-release: 1\r\n"
                        val headers = "${route}x-baobabhollow-deadline: $soon\r\n"
                        // Asks the owner, because an entry node whose own timer ends first can only say "unknown".
                        val response = call(mesh.owners[0].peerCallPort, "/orders/2", headers = headers)
                        response?.status shouldBe 504
                        response?.outcome shouldBe "not-run"
                        first.connection.respond("done")
                        val third = connect(mesh.port)
                        third.start("/stock/3")
                        held.await().request.path shouldBe "/stock/3"
                    }
                }
            }

            it("ends with an unknown outcome when the target is too slow, and gets a shorter deadline at each hop") {
                val held = Signal<Held>()
                blockingTarget(held).use { target ->
                    TestMesh(listOf(target.port)).use { mesh ->
                        val soon = System.currentTimeMillis() + 150
                        val response = call(mesh.port, "/orders/1", headers = "x-baobabhollow-deadline: $soon\r\n")
                        response?.status shouldBe 504
                        response?.outcome shouldBe "unknown"
                        held
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
