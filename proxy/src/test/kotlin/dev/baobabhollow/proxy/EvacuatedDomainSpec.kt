package dev.baobabhollow.proxy

import dev.baobabhollow.calls.RetryBudgetSettings
import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.CountDownLatch
import java.util.concurrent.atomic.AtomicInteger
import kotlin.concurrent.thread
import kotlin.time.Duration.Companion.seconds

class EvacuatedDomainSpec :
    DescribeSpec({
        // No retry is in the budget, so that only calls that no target has seen are tried again.
        val settings =
            ProxySettings(
                LOOPBACK_ANY,
                chargesRefusals = false,
                retries = RetryBudgetSettings(ratioPermille = 0, minimumPerSecond = 0, maxSavedRetries = 0),
            )

        describe("a target in an evacuated failure domain") {
            // Guards against calls from a node that has not received the order, which the owner has to refuse.
            it("gets no call from an entry node that does not know the order, and the call runs elsewhere") {
                val evacuatedRuns = AtomicInteger()
                val runs = AtomicInteger()
                val evacuated = ScriptedTarget.responding(evacuatedRuns) { respond("evacuated") }
                val other = ScriptedTarget.responding(runs) { respond("other") }
                val ports = listOf(evacuated.port, other.port)
                TestMesh(ports, settings = settings, domains = listOf("a", "b")).use { mesh ->
                    mesh.ownerTable = mesh.compile("a")
                    repeat(20) { call(mesh.port, "/orders/$it", "POST")?.body shouldBe "other" }
                }
                evacuatedRuns.get() shouldBe 0
                runs.get() shouldBe 20
                evacuated.close()
                other.close()
            }

            // Guards against a call that waits for its slot during the order and is sent afterwards.
            it("gets no call that was waiting for a slot when the order arrived") {
                val runs = AtomicInteger()
                val release = CountDownLatch(1)
                val target =
                    ScriptedTarget.responding(runs) {
                        release.await()
                        respond("late")
                    }
                val reasons = CopyOnWriteArrayList<String?>()
                TestMesh(listOf(target.port), slots = 1, settings = settings).use { mesh ->
                    val first = thread { call(mesh.port, "/orders/1", "POST")?.body shouldBe "late" }
                    eventually(5.seconds) { runs.get() shouldBe 1 }
                    val waiting = thread { reasons += call(mesh.port, "/orders/2", "POST")?.reason }
                    eventually(5.seconds) { mesh.owners[0].loadPermille shouldBe 2_000 }
                    mesh.ownerTable = mesh.compile("a")
                    // A new call is refused before the running one frees its slot.
                    call(mesh.port, "/orders/3", "POST")?.reason shouldBe "evacuated"
                    mesh.owners[0].loadPermille shouldBe 2_000
                    release.countDown()
                    first.join()
                    waiting.join()
                }
                reasons shouldBe listOf("evacuated")
                runs.get() shouldBe 1
                target.close()
            }

            // Guards against a retry that is sent by a table from before the order, to an owner that does not know it.
            it("gets no retry of a call that has started before the order") {
                val evacuatedRuns = AtomicInteger()
                val evacuated = ScriptedTarget.responding(evacuatedRuns) { respond("evacuated") }
                lateinit var mesh: TestMesh
                val retryable = settings.copy(retries = RetryBudgetSettings(minimumPerSecond = 100))
                val refusing =
                    ScriptedTarget.responding {
                        mesh.ownerTable = mesh.compile()
                        mesh.table = mesh.compile("b")
                        respond("", "503 full")
                    }
                mesh = TestMesh(listOf(refusing.port, evacuated.port), settings = retryable, domains = listOf("a", "b"))
                mesh.use { call(mesh.port, "/stock/1")?.status shouldBe 503 }
                evacuatedRuns.get() shouldBe 0
                refusing.close()
                evacuated.close()
            }
        }

        describe("a mesh whose failure domains are all evacuated") {
            // Guards against an order that is not binding, and against 404 or 502 for calls that have not run.
            it("refuses calls as not run with a time to come back") {
                val runs = AtomicInteger()
                val target = ScriptedTarget.responding(runs) { respond("ok") }
                val refusing = settings.copy(notReadyRetryAfterMillis = 500)
                TestMesh(listOf(target.port), settings = refusing).use { mesh ->
                    mesh.table = mesh.compile("a")
                    val response = call(mesh.port, "/orders/1", "POST")
                    response?.status shouldBe 503
                    response?.outcome shouldBe "not-run"
                    mesh.table = mesh.compile()
                    call(mesh.port, "/orders/1", "POST")?.status shouldBe 200
                }
                runs.get() shouldBe 1
                target.close()
            }
        }

        describe("a node of an evacuated failure domain") {
            it("still accepts callers, whose calls run in other domains") {
                val other = ScriptedTarget.responding { respond("other") }
                val own = ScriptedTarget.responding { respond("own") }
                TestMesh(listOf(own.port, other.port), settings = settings, domains = listOf("a", "b")).use { mesh ->
                    mesh.table = mesh.compile("a")
                    repeat(10) { call(mesh.port, "/orders/$it", "POST")?.body shouldBe "other" }
                    // The node of the evacuated target accepts callers too.
                    call(mesh.owners[0].callersPort, "/orders/1", "POST")?.body shouldBe "other"
                }
                own.close()
                other.close()
            }
        }
    })
