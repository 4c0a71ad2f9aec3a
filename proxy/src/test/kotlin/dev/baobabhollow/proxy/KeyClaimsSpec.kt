package dev.baobabhollow.proxy

import dev.baobabhollow.model.NodeId
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.shouldBe
import java.net.ServerSocket
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.atomic.AtomicInteger
import kotlin.concurrent.thread

/** Grants each key once and decides on another thread, as claims in a log do. */
private class InMemoryKeyClaims : KeyClaims {
    val responses = ConcurrentHashMap<String, StoredResponse>()
    val events = CopyOnWriteArrayList<String>()
    private val claimed = ConcurrentHashMap.newKeySet<String>()

    @Volatile
    var isAvailable = true

    override fun issuerOf(key: String): KeyIssuer? =
        key
            .takeIf {
                it.startsWith(
                    "bh1.",
                )
            }?.split('.')
            ?.let { KeyIssuer(NodeId(it[1]), it[2].toLong(), Long.MAX_VALUE) }

    override fun issue(
        deadlineMillis: Long,
        nowMillis: Long,
    ): String = "bh1.owner-0.1.$deadlineMillis.x"

    override fun claim(
        key: String,
        callDeadlineMillis: Long,
        nowMillis: Long,
        decide: (KeyDecision) -> Unit,
    ) {
        thread {
            val stored = responses[key]
            decide(
                when {
                    !isAvailable -> KeyDecision.Unavailable
                    claimed.add(key) -> KeyDecision.Granted
                    stored != null -> KeyDecision.Answered(stored)
                    else -> KeyDecision.Used
                },
            )
        }
    }

    override fun finished(
        key: String,
        response: StoredResponse?,
    ) {
        events += "finished"
        if (response != null) responses[key] = response
    }

    override fun released(key: String) {
        events += "released"
        claimed.remove(key)
    }
}

/** Guards against a repeated key that runs a request twice, and against a claim kept for a request that did not run. */
class KeyClaimsSpec :
    DescribeSpec({
        fun key(value: String) = "idempotency-key: $value\r\n"

        describe("a request with an idempotency key") {
            it("runs once and returns its stored response to a repeat") {
                val runs = AtomicInteger()
                val claims = InMemoryKeyClaims()
                val target =
                    ScriptedTarget.responding(runs) { respond("order ${runs.get()}", headers = "x-own: 1\r\n") }
                target.use {
                    TestMesh(listOf(target.port), claims = claims).use { mesh ->
                        repeat(3) {
                            val response = call(mesh.port, "/orders", "POST", key("1-a"), "order")
                            response?.body shouldBe "order 1"
                            response?.headers?.get("x-own") shouldBe "1"
                        }
                        call(mesh.port, "/orders", "POST", key("1-b"), "order")?.body shouldBe "order 2"
                    }
                }
                runs.get() shouldBe 2
            }

            it("is refused with 409 when an earlier one may have run and its response is unknown") {
                val runs = AtomicInteger()
                val claims = InMemoryKeyClaims()
                val target =
                    ScriptedTarget { connection ->
                        connection.read()
                        runs.incrementAndGet()
                    }
                TestMesh(listOf(target.port), claims = claims).use { mesh ->
                    call(mesh.port, "/orders", "POST", key("1-a"), "order")?.outcome shouldBe "unknown"
                    call(mesh.port, "/orders", "POST", key("1-a"), "order")?.status shouldBe 409
                }
                runs.get() shouldBe 1
                target.close()
            }

            it("is refused as not run when claims are not available") {
                val runs = AtomicInteger()
                val claims = InMemoryKeyClaims().also { it.isAvailable = false }
                ScriptedTarget.responding(runs) { respond("done") }.use { target ->
                    TestMesh(listOf(target.port), claims = claims).use { mesh ->
                        val response = call(mesh.port, "/orders", "POST", key("1-a"), "order")
                        response?.status shouldBe 503
                        response?.outcome shouldBe "not-run"
                        awaitUntil("the slot is free") { mesh.owners[0].loadPermille == 0 }
                    }
                }
                runs.get() shouldBe 0
            }

            it("releases its claim when the target cannot be reached") {
                val claims = InMemoryKeyClaims()
                val port = ServerSocket(0).use { it.localPort }
                TestMesh(listOf(port), claims = claims).use { mesh ->
                    call(mesh.port, "/orders", "POST", key("1-a"), "order")?.outcome shouldBe "not-run"
                    claims.events shouldContainExactly listOf("released")
                }
            }
        }

        describe("an issued key") {
            it("is issued by an owner, and requests with it are sent to that owner") {
                val runs = List(3) { AtomicInteger() }
                val targets = runs.map { ScriptedTarget.responding(it) { respond("done") } }
                TestMesh(targets.map { it.port }, claims = InMemoryKeyClaims()).use { mesh ->
                    val issued = call(mesh.port, "/.baobabhollow/keys?path=/orders", "POST")
                    issued?.status shouldBe 200
                    val key = issued!!.body.substringAfter(":\"").substringBefore('"')
                    repeat(5) { call(mesh.port, "/orders", "POST", key("$key$it"), "order")?.body shouldBe "done" }
                    call(mesh.port, "/.baobabhollow/keys?path=/none", "POST")?.status shouldBe 404
                    call(mesh.port, "/.baobabhollow/keys", "POST")?.status shouldBe 400
                }
                runs.map { it.get() } shouldBe listOf(5, 0, 0)
                targets.forEach { it.close() }
            }

            // Guards against a second run at another owner after the owner that knows the outcome has gone.
            it("has an unknown outcome and does not run when the incarnation that issued it is gone") {
                val runs = AtomicInteger()
                ScriptedTarget.responding(runs) { respond("done") }.use { target ->
                    TestMesh(listOf(target.port), claims = InMemoryKeyClaims()).use { mesh ->
                        listOf("bh1.owner-0.0.9.x", "bh1.gone.1.9.x").forEach {
                            val response = call(mesh.port, "/orders", "POST", key(it), "order")
                            response?.status shouldBe 502
                            response?.outcome shouldBe "unknown"
                        }
                    }
                }
                runs.get() shouldBe 0
            }
        }
    })
