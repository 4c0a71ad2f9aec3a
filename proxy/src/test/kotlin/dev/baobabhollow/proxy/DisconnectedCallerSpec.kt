package dev.baobabhollow.proxy

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import java.net.Socket
import java.util.concurrent.CompletableFuture
import java.util.concurrent.CountDownLatch
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicReference
import kotlin.concurrent.thread

/** Exceeds the lag threshold of an event loop, and leaves time for data sent before the stall to arrive. */
private const val STALL_MILLIS = 150L
private const val ROUNDS = 8
private const val WAIT_SECONDS = 5L

/** Does not refuse calls because of lag, so only the closed connection shows that the caller has disconnected. */
private val SETTINGS = ProxySettings(LOOPBACK_ANY, eventLoops = 1, maxLoopLagMillis = null)

/** Stalls the event loop that reads the time next, as a busy processor does. */
private class StallingClock : () -> Long {
    private class Stall {
        val begun = CountDownLatch(1)
        val ended = CountDownLatch(1)
    }

    private val next = AtomicReference<Stall?>()

    override fun invoke(): Long {
        next.getAndSet(null)?.let {
            it.begun.countDown()
            it.ended.await(WAIT_SECONDS, TimeUnit.SECONDS)
            Thread.sleep(STALL_MILLIS)
        }
        return System.currentTimeMillis()
    }

    /** Runs [step] while an event loop is stalled. */
    fun stallDuring(step: () -> Unit) {
        val stall = Stall()
        next.set(stall)
        stall.begun.await(WAIT_SECONDS, TimeUnit.SECONDS) shouldBe true
        step()
        stall.ended.countDown()
    }
}

class DisconnectedCallerSpec :
    DescribeSpec({
        describe("a request whose caller has disconnected before a lagging node reads it") {
            // Guards against work for disconnected callers: the close of a connection is read after its last request.
            it("is not sent to a target") {
                val runs = AtomicInteger()
                val target = ScriptedTarget.responding(runs) { respond("ok") }
                val clock = StallingClock()
                TestMesh(listOf(target.port), settings = SETTINGS, nowMillis = clock).use { mesh ->
                    repeat(ROUNDS) { round ->
                        val caller = Socket("127.0.0.1", mesh.port)
                        clock.stallDuring {
                            caller.getOutputStream().write(request(round))
                            caller.close()
                        }
                        Thread.sleep(STALL_MILLIS * 2)
                    }
                    call(mesh.port, "/stock/last")?.status shouldBe 200
                }
                runs.get() shouldBe 1
                target.close()
            }

            it("is served if its caller waits") {
                val target = ScriptedTarget.responding { respond("ok") }
                val clock = StallingClock()
                TestMesh(listOf(target.port), settings = SETTINGS, nowMillis = clock).use { mesh ->
                    repeat(ROUNDS) { round ->
                        val response = CompletableFuture<String?>()
                        clock.stallDuring {
                            thread { response.complete(call(mesh.port, "/stock/$round")?.body) }
                        }
                        response.get(WAIT_SECONDS, TimeUnit.SECONDS) shouldBe "ok"
                    }
                }
                target.close()
            }
        }

        describe("a request on a connection that has waited for long to be accepted") {
            // Guards against work for disconnected callers: the wait for an accept is no lag of the event loop.
            it("is not sent to a target if its caller has disconnected") {
                val runs = AtomicInteger()
                val target = ScriptedTarget.responding(runs) { respond("ok") }
                val clock = StallingClock()
                val settings = SETTINGS.copy(loopLagThresholdMillis = 10_000)
                TestMesh(listOf(target.port), settings = settings, nowMillis = clock).use { mesh ->
                    repeat(ROUNDS) { round ->
                        clock.stallDuring {
                            Socket("127.0.0.1", mesh.port).use { it.getOutputStream().write(request(round)) }
                        }
                        Thread.sleep(STALL_MILLIS)
                    }
                    call(mesh.port, "/stock/last")?.status shouldBe 200
                }
                runs.get() shouldBe 1
                target.close()
            }
        }

        describe("a failed call whose caller has disconnected before a lagging node reads the failure") {
            // Guards against a retry for a disconnected caller: the close of its connection is read after the failure.
            it("is not retried at another target") {
                val runs = AtomicInteger()
                val clock = StallingClock()
                val hasArrived = LinkedBlockingQueue<Unit>()
                val hasLeft = LinkedBlockingQueue<Unit>()
                val targets =
                    List(2) {
                        ScriptedTarget { connection ->
                            connection.read() ?: return@ScriptedTarget
                            runs.incrementAndGet()
                            hasArrived.put(Unit)
                            hasLeft.poll(WAIT_SECONDS, TimeUnit.SECONDS)
                        }
                    }
                TestMesh(targets.map { it.port }, settings = SETTINGS, entryNowMillis = clock).use { mesh ->
                    repeat(ROUNDS) { round ->
                        val caller = Socket("127.0.0.1", mesh.port)
                        caller.getOutputStream().write(request(round))
                        hasArrived.poll(WAIT_SECONDS, TimeUnit.SECONDS)
                        clock.stallDuring {
                            hasLeft.put(Unit)
                            caller.close()
                        }
                        Thread.sleep(STALL_MILLIS * 2)
                        hasArrived.poll()?.let { hasLeft.put(it) }
                    }
                }
                runs.get() shouldBe ROUNDS
                targets.forEach { it.close() }
            }
        }

        describe("a call that gets a slot after its caller has disconnected from a lagging node") {
            // Guards against work for disconnected callers: the slot may be freed by a response that is read first.
            it("is not sent to the target") {
                val waitingCalls = AtomicInteger()
                val held = LinkedBlockingQueue<RawConnection>()
                val target =
                    ScriptedTarget { connection ->
                        while (true) {
                            val request = connection.read() ?: break
                            if (request.path.startsWith("/orders")) waitingCalls.incrementAndGet()
                            held.put(connection)
                        }
                    }
                val clock = StallingClock()
                val mesh =
                    TestMesh(
                        listOf(target.port),
                        slots = 1,
                        settings = SETTINGS,
                        nowMillis = clock,
                        entryNowMillis = System::currentTimeMillis,
                    )
                mesh.use {
                    repeat(ROUNDS) { round ->
                        val first = connect(mesh.port)
                        first.send("GET /stock/$round HTTP/1.1\r\nhost: h\r\n\r\n")
                        val running = checkNotNull(held.poll(WAIT_SECONDS, TimeUnit.SECONDS))
                        val second = connect(mesh.port)
                        second.send("GET /orders/$round HTTP/1.1\r\nhost: h\r\n\r\n")
                        awaitUntil("a call waits") { mesh.owners[0].loadPermille == 2_000 }
                        clock.stallDuring {
                            running.respond("ok")
                            Thread.sleep(20)
                            second.close()
                            Thread.sleep(50)
                        }
                        first.read()?.body shouldBe "ok"
                        first.close()
                        awaitUntil("the calls have ended") { mesh.owners[0].inFlight == 0 }
                        held.clear()
                    }
                }
                waitingCalls.get() shouldBe 0
                target.close()
            }
        }
    })

private fun request(round: Int) = "GET /stock/$round HTTP/1.1\r\nHost: h\r\n\r\n".toByteArray()
