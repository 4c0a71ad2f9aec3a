package dev.baobabhollow.proxy

import dev.baobabhollow.calls.QuotaDecision
import dev.baobabhollow.calls.QuotaKey
import dev.baobabhollow.calls.QuotaSettings
import dev.baobabhollow.calls.QuotaStock
import dev.baobabhollow.calls.QuotaToken
import dev.baobabhollow.calls.QuotaWaiter
import dev.baobabhollow.model.ApiKeyDigest
import dev.baobabhollow.model.TenantConfig
import dev.baobabhollow.model.TenantId
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.longs.shouldBeGreaterThanOrEqual
import io.kotest.matchers.shouldBe
import java.util.concurrent.CompletableFuture
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger
import kotlin.concurrent.thread

private const val BODY_BYTES = 600_000
private const val WAIT_SECONDS = 10L
private val TOKEN = QuotaToken(QuotaKey.of("ana"), Long.MAX_VALUE)

/** Decides as the test says; without [immediate] requests wait. The tenant `free` has no limit. */
private class ScriptedQuotas(
    private val immediate: QuotaDecision? = null,
) : CallQuotas {
    val waiting = Signal<(QuotaDecision) -> Unit>()
    val waiters = CopyOnWriteArrayList<QuotaWaiter>()
    val taken = AtomicInteger()
    val returned = Signal<QuotaToken>()
    val returns = AtomicInteger()

    override fun keyOf(tenant: TenantId) = if (tenant.value == "free") null else QuotaKey.of(tenant.value)

    override fun take(
        key: QuotaKey,
        onWait: (QuotaWaiter) -> Unit,
        decide: (QuotaDecision) -> Unit,
    ): QuotaDecision? {
        taken.incrementAndGet()
        if (immediate == null) waiting.send(decide)
        return immediate
    }

    override fun giveBack(token: QuotaToken) {
        returns.incrementAndGet()
        returned.send(token)
    }
}

private fun bearer(key: String) = "authorization: Bearer $key\r\n"

private val TENANTS =
    listOf("ana", "free").associate { TenantId(it) to TenantConfig(setOf(ApiKeyDigest.of(it.toByteArray()))) }

/** Guards against requests over a quota that run, and against requests that are lost or cut off while they wait. */
class QuotaExchangeSpec :
    DescribeSpec({
        val seen = CopyOnWriteArrayList<Message>()
        val target =
            autoClose(
                ScriptedTarget.responding {
                    seen += it
                    respond("ok")
                },
            )

        fun withMesh(
            quotas: CallQuotas,
            targets: List<Int> = listOf(target.port),
            timeoutMillis: Long = 10_000,
            check: (TestMesh) -> Unit,
        ) = TestMesh(targets, timeoutMillis = timeoutMillis, quotas = quotas).use { mesh ->
            seen.clear()
            mesh.publish(TENANTS)
            check(mesh)
        }

        fun inBackground(step: () -> Message?): CompletableFuture<Message?> =
            CompletableFuture<Message?>().also { result -> thread { result.complete(step()) } }

        fun CompletableFuture<Message?>.result() = get(WAIT_SECONDS, TimeUnit.SECONDS)

        describe("a request that waits for a token") {
            it("is forwarded with its whole body once there is one") {
                val quotas = ScriptedQuotas()
                withMesh(quotas) { mesh ->
                    val body = "x".repeat(BODY_BYTES)
                    val response =
                        inBackground {
                            connect(mesh.port).use {
                                val head = "POST /drawings HTTP/1.1\r\nhost: a\r\n${bearer("ana")}"
                                it.send("${head}content-length: ${body.length}\r\n\r\n$body")
                                it.read()
                            }
                        }
                    val decide = quotas.waiting.await()
                    seen.shouldBeEmpty()
                    decide(QuotaDecision.Granted(TOKEN))
                    response.result()?.status shouldBe 200
                    seen.single().body shouldBe body
                    quotas.returns.get() shouldBe 0
                }
            }

            // Uncounted requests would be cut off by a planned stop, and could exhaust the memory.
            it("is counted as in flight and in the held memory") {
                val quotas = ScriptedQuotas()
                withMesh(quotas) { mesh ->
                    val response = inBackground { call(mesh.port, "/stock", headers = bearer("ana")) }
                    val decide = quotas.waiting.await()
                    mesh.entry.inFlight shouldBe 1
                    mesh.entry.heldBytes shouldBeGreaterThanOrEqual 2_048L
                    decide(QuotaDecision.Granted(TOKEN))
                    response.result()?.status shouldBe 200
                }
            }

            it("does not block other requests on the event loop") {
                val quotas = ScriptedQuotas()
                withMesh(quotas) { mesh ->
                    val response = inBackground { call(mesh.port, "/stock", headers = bearer("ana")) }
                    val decide = quotas.waiting.await()
                    call(mesh.port, "/stock", headers = bearer("free"))?.status shouldBe 200
                    decide(QuotaDecision.Granted(TOKEN))
                    response.result()?.status shouldBe 200
                }
            }

            // A token for a caller that has left would be lost to the tenant.
            it("ends when its caller leaves, and returns a token that comes later") {
                val quotas = ScriptedQuotas()
                withMesh(quotas) { mesh ->
                    val caller = connect(mesh.port)
                    caller.send("GET /stock HTTP/1.1\r\nhost: a\r\n${bearer("ana")}\r\n")
                    val decide = quotas.waiting.await()
                    caller.close()
                    awaitUntil("the call has ended") { mesh.entry.inFlight == 0 }
                    decide(QuotaDecision.Granted(TOKEN))
                    quotas.returned.await() shouldBe TOKEN
                    seen.shouldBeEmpty()
                }
            }

            it("ends as not run when its deadline passes") {
                val quotas = ScriptedQuotas()
                withMesh(quotas, timeoutMillis = 200) { mesh ->
                    val response = call(mesh.port, "/stock", headers = bearer("ana"))
                    response?.status shouldBe 504
                    response?.outcome shouldBe "not-run"
                    awaitUntil("the call has ended") { mesh.entry.inFlight == 0 }
                    quotas.waiting.await()(QuotaDecision.Granted(TOKEN))
                    quotas.returned.await() shouldBe TOKEN
                    seen.shouldBeEmpty()
                }
            }

            it("is refused if it turns out to be over the quota") {
                val quotas = ScriptedQuotas()
                withMesh(quotas) { mesh ->
                    val response = inBackground { call(mesh.port, "/stock", headers = bearer("ana")) }
                    quotas.waiting.await()(QuotaDecision.Denied(40))
                    response.result()?.status shouldBe 429
                    awaitUntil("the call has ended") { mesh.entry.inFlight == 0 }
                }
            }
        }

        describe("a request over the quota") {
            it("gets 429 as not run, with the time until there is a token, and reaches no target") {
                withMesh(ScriptedQuotas(QuotaDecision.Denied(120))) { mesh ->
                    val response = call(mesh.port, "/stock", headers = bearer("ana"))
                    response?.status shouldBe 429
                    response?.outcome shouldBe "not-run"
                    response?.reason shouldBe "over-quota"
                    response?.headers?.get("x-baobabhollow-room-in") shouldBe "120"
                    seen.shouldBeEmpty()
                }
            }

            it("leaves its connection usable") {
                withMesh(ScriptedQuotas(QuotaDecision.Denied(120))) { mesh ->
                    connect(mesh.port).use { caller ->
                        caller.send("GET /stock HTTP/1.1\r\nhost: a\r\n${bearer("ana")}\r\n")
                        caller.read()?.status shouldBe 429
                        caller.send("GET /stock HTTP/1.1\r\nhost: a\r\n${bearer("free")}\r\n")
                        caller.read()?.status shouldBe 200
                    }
                }
            }
        }

        // 429 would state that the tenant is over its quota, which nobody knows.
        describe("a request whose quota is not known") {
            it("gets 503 as not run") {
                withMesh(ScriptedQuotas(QuotaDecision.Unavailable(1_000))) { mesh ->
                    val response = call(mesh.port, "/stock", headers = bearer("ana"))
                    response?.status shouldBe 503
                    response?.reason shouldBe "quota-unknown"
                    seen.shouldBeEmpty()
                }
            }
        }

        describe("the token of a request") {
            // Mutation: without this, overload of the targets would also use up the quotas.
            it("is returned if the mesh refuses the request for another reason") {
                val quotas = ScriptedQuotas(QuotaDecision.Granted(TOKEN))
                withMesh(quotas, targets = emptyList()) { mesh ->
                    call(mesh.port, "/stock", headers = bearer("ana"))?.status shouldBe 503
                    quotas.returned.await() shouldBe TOKEN
                    quotas.returns.get() shouldBe 1
                }
            }

            // A token that is returned although its request ran would exceed the quota.
            it("is not returned if the request has run, or may have run") {
                val quotas = ScriptedQuotas(QuotaDecision.Granted(TOKEN))
                val broken = autoClose(ScriptedTarget.responding { socket.close() })
                withMesh(quotas) { mesh -> call(mesh.port, "/stock", headers = bearer("ana"))?.status shouldBe 200 }
                withMesh(quotas, targets = listOf(broken.port)) { mesh ->
                    call(mesh.port, "/orders", method = "POST", headers = bearer("ana"))?.outcome shouldBe "unknown"
                }
                quotas.returns.get() shouldBe 0
            }

            it("serves the next request of the tenant at the same node") {
                val questions = AtomicInteger()
                val stock = QuotaStock(QuotaSettings(), 0) { questions.incrementAndGet() }
                val quotas =
                    object : CallQuotas {
                        override fun keyOf(tenant: TenantId) = QuotaKey.of(tenant.value)

                        override fun take(
                            key: QuotaKey,
                            onWait: (QuotaWaiter) -> Unit,
                            decide: (QuotaDecision) -> Unit,
                        ) = stock.take(key, 0, onWait, decide)

                        override fun giveBack(token: QuotaToken) = stock.giveBack(token, 0)
                    }
                stock.giveBack(QuotaToken(QuotaKey.of("ana"), 100), 0)
                withMesh(quotas, targets = emptyList()) { mesh ->
                    val reasons = List(5) { call(mesh.port, "/stock", headers = bearer("ana"))?.reason }
                    reasons.distinct() shouldContainExactly listOf("no-target")
                }
            }
        }

        describe("a request without a limit") {
            it("takes no token") {
                val quotas = ScriptedQuotas(QuotaDecision.Denied(1))
                withMesh(quotas) { mesh ->
                    call(mesh.port, "/stock", headers = bearer("free"))?.status shouldBe 200
                    call(mesh.port, "/public")?.status shouldBe 200
                    call(mesh.port, "/nowhere", headers = bearer("ana"))?.status shouldBe 404
                    call(mesh.port, "/stock")?.status shouldBe 401
                    quotas.taken.get() shouldBe 0
                    seen shouldHaveSize 2
                }
            }
        }
    })
