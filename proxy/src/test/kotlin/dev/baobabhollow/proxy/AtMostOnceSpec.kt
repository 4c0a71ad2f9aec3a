package dev.baobabhollow.proxy

import dev.baobabhollow.calls.RetryBudgetSettings
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import io.kotest.matchers.shouldNotBe
import java.net.ServerSocket
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger
import kotlin.random.Random

/** Guards against requests that run twice, and against the outcome "not run" for a request that reached a target. */
class AtMostOnceSpec :
    DescribeSpec({
        fun closedPort() = ServerSocket(0).use { it.localPort }

        fun stoppingTarget(
            runs: AtomicInteger,
            stop: RawConnection.() -> Unit,
        ) = ScriptedTarget { connection ->
            connection.read(withBody = false) ?: return@ScriptedTarget
            runs.incrementAndGet()
            connection.stop()
        }

        describe("a request that may not be repeated") {
            it("is reported as not run when no target accepts a connection") {
                TestMesh(listOf(closedPort())).use { mesh ->
                    val response = call(mesh.port, "/orders", "POST", body = "order")
                    response?.status shouldBe 503
                    response?.outcome shouldBe "not-run"
                    response?.reason shouldBe "target-unreachable"
                }
            }

            it("runs on another target when it has not run on the first") {
                val runs = AtomicInteger()
                ScriptedTarget.responding(runs) { respond("done") }.use { target ->
                    TestMesh(listOf(closedPort(), target.port)).use { mesh ->
                        repeat(20) { call(mesh.port, "/orders", "POST", body = "order")?.body shouldBe "done" }
                    }
                }
                runs.get() shouldBe 20
            }

            it("runs once and has an unknown outcome when the target stops after reading it") {
                val runs = AtomicInteger()
                val targets = List(3) { stoppingTarget(runs) { } }
                TestMesh(targets.map { it.port }).use { mesh ->
                    val response = call(mesh.port, "/orders", "POST", body = "order")
                    response?.status shouldBe 502
                    response?.outcome shouldBe "unknown"
                }
                runs.get() shouldBe 1
                targets.forEach { it.close() }
            }

            it("runs once and closes the caller's connection when the target stops within its response") {
                val runs = AtomicInteger()
                val targets =
                    List(3) { stoppingTarget(runs) { send("HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\n") } }
                TestMesh(targets.map { it.port }).use { mesh ->
                    call(mesh.port, "/orders", "POST", body = "order") shouldBe null
                }
                runs.get() shouldBe 1
                targets.forEach { it.close() }
            }

            it("is never reported as not run after a target has read its head, wherever the target stops") {
                val seen = ConcurrentHashMap<String, AtomicInteger>()
                val stops = Random(7)
                val draws = List(400) { stops.nextInt(5) }
                val next = AtomicInteger()
                val targets =
                    List(2) {
                        ScriptedTarget { connection ->
                            val stop = draws[next.getAndIncrement() % draws.size]
                            if (stop == 0) return@ScriptedTarget
                            while (true) {
                                val head = connection.read(withBody = false) ?: break
                                seen.computeIfAbsent(head.path) { AtomicInteger() }.incrementAndGet()
                                if (stop == 1) break
                                connection.readBytes(if (stop == 2) 2 else 5)
                                if (stop == 2) break
                                if (stop ==
                                    3
                                ) {
                                    connection.send("HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nab")
                                } else {
                                    connection.respond("done")
                                }
                                if (stop == 3) break
                            }
                        }
                    }
                val settings = ProxySettings(LOOPBACK_ANY, maxAttempts = 3)
                TestMesh(targets.map { it.port }, settings = settings).use { mesh ->
                    val responses =
                        (0 until 300).associate {
                            "/orders/$it" to
                                call(mesh.port, "/orders/$it", "POST", body = "order")
                        }
                    responses.forEach { (path, response) ->
                        val count = seen[path]?.get() ?: 0
                        count shouldBeLessThanOrEqual 1
                        if (response?.outcome == "not-run") count shouldBe 0
                        if (response?.status == 200) count shouldBe 1
                    }
                    responses.values.count { it?.status == 200 } shouldNotBe 0
                    responses.values.count { it?.outcome == "unknown" } shouldNotBe 0
                }
                targets.forEach { it.close() }
            }
        }

        describe("a request that may be repeated") {
            it("is sent again to another target, with its whole body") {
                val runs = AtomicInteger()
                val bad = stoppingTarget(runs) { }
                val good = ScriptedTarget.responding { respond("got ${it.body}") }
                val settings = ProxySettings(LOOPBACK_ANY, retries = RetryBudgetSettings(minimumPerSecond = 20))
                TestMesh(listOf(bad.port, good.port), settings = settings).use { mesh ->
                    repeat(10) { call(mesh.port, "/stock", "POST", body = "text")?.body shouldBe "got text" }
                }
                bad.close()
                good.close()
            }

            it("is not sent again when it arrives marked as a retry") {
                val runs = AtomicInteger()
                val targets = List(3) { stoppingTarget(runs) { } }
                TestMesh(targets.map { it.port }).use { mesh ->
                    call(mesh.port, "/stock", headers = "x-baobabhollow-retry: 1\r\n")?.status shouldBe 502
                }
                runs.get() shouldBe 1
                targets.forEach { it.close() }
            }

            it("does not multiply the load when all targets fail") {
                val runs = AtomicInteger()
                val targets = List(3) { stoppingTarget(runs) { } }
                val startNanos = System.nanoTime()
                TestMesh(targets.map { it.port }).use { mesh ->
                    repeat(300) { call(mesh.port, "/stock/$it")?.status shouldBe 502 }
                }
                val seconds = ((System.nanoTime() - startNanos) / 1_000_000_000).toInt() + 1
                runs.get() shouldBeLessThanOrEqual 300 + 30 + 2 * seconds
                targets.forEach { it.close() }
            }
        }
    })
