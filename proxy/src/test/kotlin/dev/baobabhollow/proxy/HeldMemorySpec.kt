package dev.baobabhollow.proxy

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldContain
import io.kotest.matchers.longs.shouldBeLessThan
import io.kotest.matchers.shouldBe
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.atomic.AtomicBoolean
import kotlin.concurrent.thread

private const val LIMIT = 2L * 1024 * 1024

/** What calls in progress may receive beyond the limit: one read for each event loop and a few for what is under way. */
private const val OVERSHOOT = 512L * 1024

/** Guards against a node whose calls together use up its memory, although each of them keeps to its limit (review/1). */
class HeldMemorySpec :
    DescribeSpec({
        val settings = ProxySettings(LOOPBACK_ANY, maxHeldBytes = LIMIT, maxReplayBytes = 524_288)

        /** Runs [load] and returns the most bytes that a node of [mesh] held meanwhile. */
        fun peakOf(
            mesh: TestMesh,
            load: () -> Unit,
        ): Long {
            val isDone = AtomicBoolean()
            var peak = 0L
            val sampler =
                thread(isDaemon = true) {
                    while (!isDone.get()) {
                        peak = maxOf(peak, mesh.entry.heldBytes, mesh.owners.maxOf { it.heldBytes })
                        Thread.sleep(1)
                    }
                }
            load()
            isDone.set(true)
            sampler.join()
            return peak
        }

        fun awaitNothingHeld(mesh: TestMesh) =
            awaitUntil("nothing is held: ${mesh.entry.heldBytes}") {
                mesh.entry.heldBytes == 0L && mesh.owners.all { it.heldBytes == 0L }
            }

        describe("a node that runs short of memory") {
            // Guards against calls that are refused while copies for retries take the room, and against calls without a
            // body that are refused because of uploads.
            it("gives up long copies first, then calls with a body, short copies, and at last all calls") {
                val memory = HeldMemory(1_200_000)
                memory.add(399_999)
                memory.allowsCopy(100_000) shouldBe true
                memory.add(1)
                memory.allowsCopy(100_000) shouldBe false
                memory.allowsCopy(300) shouldBe true
                memory.allowsCall(65_536) shouldBe true
                memory.add(900_000 - 400_000 - 65_536)
                memory.allowsCall(65_536) shouldBe false
                memory.allowsCopy(300) shouldBe true
                memory.isScarce shouldBe false
                memory.add(65_536)
                memory.isScarce shouldBe true
                memory.allowsCopy(300) shouldBe false
                memory.allowsCall(0) shouldBe true
                memory.add(300_000)
                memory.isFull shouldBe true
                memory.allowsCall(0) shouldBe false
            }
        }

        describe("the memory that a node holds in all") {
            it("is bounded during a burst of uploads, each of which gets an answer") {
                val target =
                    ScriptedTarget.responding {
                        Thread.sleep(20)
                        respond("ok")
                    }
                TestMesh(listOf(target.port), slots = 2, settings = settings).use { mesh ->
                    val answers = CopyOnWriteArrayList<Message?>()
                    val body = "x".repeat(400_000)
                    val peak =
                        peakOf(mesh) {
                            val callers =
                                List(60) { thread { answers += call(mesh.port, "/drawings/$it", "POST", body = body) } }
                            callers.forEach { it.join() }
                        }
                    peak shouldBeLessThan LIMIT + OVERSHOOT
                    answers.size shouldBe 60
                    answers.map { it?.status }.toSet() - setOf(200, 503) shouldBe emptySet()
                    answers.map { it?.status } shouldContain 200
                    answers.filter { it?.status == 503 }.map { it?.outcome }.toSet() - "not-run" shouldBe emptySet()
                    call(mesh.port, "/drawings/1", "POST", body = body)?.status shouldBe 200
                    awaitNothingHeld(mesh)
                }
                target.close()
            }

            it("is bounded when callers do not read their responses, and other callers get theirs") {
                val piece = "x".repeat(65_536)
                val target =
                    ScriptedTarget.responding { request ->
                        if (request.path == "/stock/short") return@responding respond("ok")
                        send("HTTP/1.1 200 OK\r\ncontent-length: ${200 * piece.length}\r\n\r\n")
                        repeat(200) { send(piece) }
                    }
                TestMesh(listOf(target.port), slots = 100, settings = settings).use { mesh ->
                    val slow =
                        List(80) { index ->
                            connect(mesh.port).apply {
                                socket.receiveBufferSize = 4_096
                                send("GET /stock/$index HTTP/1.1\r\nhost: a\r\n\r\n")
                            }
                        }
                    val peak = peakOf(mesh) { Thread.sleep(1_500) }
                    peak shouldBeLessThan LIMIT + OVERSHOOT
                    slow.forEach { it.close() }
                    awaitNothingHeld(mesh)
                    call(mesh.port, "/stock/short")?.body shouldBe "ok"
                }
                target.close()
            }

            it("is bounded when pipelined responses wait for an earlier one") {
                val long = "x".repeat(60_000)
                val release = AtomicBoolean()
                val target =
                    ScriptedTarget.responding {
                        while (it.path == "/stock/slow" && !release.get()) Thread.sleep(5)
                        respond(if (it.path == "/stock/slow") "ok" else long)
                    }
                TestMesh(listOf(target.port), slots = 200, settings = settings).use { mesh ->
                    val callers =
                        List(10) {
                            connect(mesh.port).apply {
                                val next = "GET /stock/1 HTTP/1.1\r\nhost: a\r\n\r\n"
                                send("GET /stock/slow HTTP/1.1\r\nhost: a\r\n\r\n" + next.repeat(12))
                            }
                        }
                    val peak = peakOf(mesh) { Thread.sleep(1_500) }
                    peak shouldBeLessThan LIMIT + OVERSHOOT
                    release.set(true)
                    callers.forEach { caller ->
                        caller.read()?.body shouldBe "ok"
                        repeat(12) { caller.read()?.let { it.status == 503 || it.body == long } shouldBe true }
                        caller.close()
                    }
                    awaitNothingHeld(mesh)
                }
                target.close()
            }

            it("is bounded when callers send heads slowly or with many fields") {
                val target = ScriptedTarget.responding { respond("ok") }
                val small = settings.copy(maxHeldBytes = LIMIT / 4)
                TestMesh(listOf(target.port), settings = small).use { mesh ->
                    val head = "GET /stock/1 HTTP/1.1\r\nhost: a\r\n" + "x-filler: ${"y".repeat(50)}\r\n".repeat(200)
                    val peak =
                        peakOf(mesh) {
                            val callers = List(300) { connect(mesh.port).apply { send(head) } }
                            Thread.sleep(500)
                            callers.forEach { it.close() }
                        }
                    peak shouldBeLessThan LIMIT / 4 + OVERSHOOT
                    awaitNothingHeld(mesh)
                    call(mesh.port, "/stock/1")?.body shouldBe "ok"
                }
                target.close()
            }
        }
    })
