package dev.baobabhollow.proxy

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import java.net.Socket
import java.util.concurrent.CountDownLatch
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicReference

/** Is below the lag at which calls are refused, so only the closed connection tells that the caller has left. */
private const val STALL_MILLIS = 150L
private const val ROUNDS = 8
private const val WAIT_SECONDS = 5L

/** Stops the event loop that asks for the time next, as a busy processor does. */
private class StallingClock : () -> Long {
    private val stalled = AtomicReference<CountDownLatch?>()

    override fun invoke(): Long {
        stalled.getAndSet(null)?.let {
            it.countDown()
            Thread.sleep(STALL_MILLIS)
        }
        return System.currentTimeMillis()
    }

    fun stall() {
        val begun = CountDownLatch(1)
        stalled.set(begun)
        begun.await(1, TimeUnit.SECONDS) shouldBe true
    }
}

class DepartedCallerSpec :
    DescribeSpec({
        describe("a request whose caller has left before a late node reads it") {
            // Guards against work for callers that have left: the end of a connection is read after its last request.
            it("reaches no target") {
                val runs = AtomicInteger()
                val target = ScriptedTarget.answering(runs) { answer("ok") }
                val clock = StallingClock()
                val settings = ProxySettings(LOOPBACK_ANY, eventLoops = 1, maxLoopLagMillis = 250)
                TestMesh(listOf(target.port), settings = settings, nowMillis = clock).use { mesh ->
                    repeat(ROUNDS) { round ->
                        Socket("127.0.0.1", mesh.port).use { caller ->
                            clock.stall()
                            caller.getOutputStream().write(
                                "GET /stock/$round HTTP/1.1\r\nHost: h\r\n\r\n".toByteArray(),
                            )
                        }
                        Thread.sleep(STALL_MILLIS * 2)
                    }
                    call(mesh.port, "/stock/last")?.status shouldBe 200
                }
                runs.get() shouldBe 1
                target.close()
            }

            it("is served if its caller waits") {
                val target = ScriptedTarget.answering { answer("ok") }
                val clock = StallingClock()
                val settings = ProxySettings(LOOPBACK_ANY, eventLoops = 1, maxLoopLagMillis = 250)
                TestMesh(listOf(target.port), settings = settings, nowMillis = clock).use { mesh ->
                    repeat(ROUNDS) { round ->
                        clock.stall()
                        call(mesh.port, "/stock/$round")?.body shouldBe "ok"
                    }
                }
                target.close()
            }
        }

        describe("a failed call whose caller has left before a late node reads the failure") {
            // Guards against another attempt for a caller that has left, whose departure is read after the failure.
            it("is not sent to another target") {
                val runs = AtomicInteger()
                val clock = StallingClock()
                val isArrived = LinkedBlockingQueue<Unit>()
                val isLeft = LinkedBlockingQueue<Unit>()
                val failing =
                    ScriptedTarget { wire ->
                        wire.read() ?: return@ScriptedTarget
                        runs.incrementAndGet()
                        isArrived.put(Unit)
                        isLeft.poll(WAIT_SECONDS, TimeUnit.SECONDS)
                    }
                val other =
                    ScriptedTarget { wire ->
                        wire.read() ?: return@ScriptedTarget
                        runs.incrementAndGet()
                        isArrived.put(Unit)
                        isLeft.poll(WAIT_SECONDS, TimeUnit.SECONDS)
                    }
                val settings = ProxySettings(LOOPBACK_ANY, eventLoops = 1, maxLoopLagMillis = 250)
                val ports = listOf(failing.port, other.port)
                TestMesh(ports, settings = settings, entryNowMillis = clock).use { mesh ->
                    repeat(ROUNDS) { round ->
                        Socket("127.0.0.1", mesh.port).use { caller ->
                            caller.getOutputStream().write(
                                "GET /stock/$round HTTP/1.1\r\nHost: h\r\n\r\n".toByteArray(),
                            )
                            isArrived.poll(WAIT_SECONDS, TimeUnit.SECONDS)
                            clock.stall()
                            isLeft.put(Unit)
                            Thread.sleep(STALL_MILLIS / 3)
                        }
                        Thread.sleep(STALL_MILLIS * 2)
                        isArrived.poll()?.let { isLeft.put(it) }
                    }
                }
                runs.get() shouldBe ROUNDS
                failing.close()
                other.close()
            }
        }
    })
