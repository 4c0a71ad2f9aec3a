package dev.baobabhollow.proxy

import dev.baobabhollow.calls.QuotaDecision
import dev.baobabhollow.calls.QuotaKey
import dev.baobabhollow.calls.QuotaToken
import dev.baobabhollow.calls.QuotaWaiter
import dev.baobabhollow.model.ApiKeyDigest
import dev.baobabhollow.model.TenantConfig
import dev.baobabhollow.model.TenantId
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.shouldBe
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit
import kotlin.concurrent.thread

private const val WAIT_SECONDS = 5L

/** Time for a close to reach the owner node through the entry node. */
private const val CLOSE_MILLIS = 300L

private fun chunked(body: String) = body.chunked(10_000).joinToString("") { "2710\r\n$it\r\n" } + "0\r\n\r\n"

private fun upload(
    path: String,
    bytes: Int,
    isChunked: Boolean,
    headers: String = "",
): String {
    val body = "x".repeat(bytes)
    val start = "POST $path HTTP/1.1\r\nhost: h\r\n$headers"
    return if (isChunked) {
        "${start}transfer-encoding: chunked\r\n\r\n${chunked(body)}"
    } else {
        "${start}content-length: $bytes\r\n\r\n$body"
    }
}

/** Lets each request wait for a token until the test decides. */
private class WaitingQuotas : CallQuotas {
    val decisions = LinkedBlockingQueue<(QuotaDecision) -> Unit>()

    override fun keyOf(tenant: TenantId) = QuotaKey.of(tenant.value)

    override fun take(
        key: QuotaKey,
        onWait: (QuotaWaiter) -> Unit,
        decide: (QuotaDecision) -> Unit,
    ): QuotaDecision? {
        decisions.put(decide)
        return null
    }

    override fun giveBack(token: QuotaToken) = Unit
}

/** Guards against work for disconnected callers: a node that has stopped reading a long body does not see them leave. */
class DisconnectedUploadSpec :
    DescribeSpec({
        describe("an upload whose caller disconnects while it waits for a slot") {
            listOf(70_000, 200_000, 360_000, 900_000).forEach { bytes ->
                listOf(false, true).forEach { isChunked ->
                    it("is not sent to the target: $bytes bytes, chunked: $isChunked") {
                        val uploads = CopyOnWriteArrayList<String>()
                        val held = LinkedBlockingQueue<RawConnection>()
                        val target =
                            ScriptedTarget { connection ->
                                while (true) {
                                    val request = connection.read() ?: break
                                    if (request.path.startsWith("/orders")) uploads += request.path
                                    held.put(connection)
                                }
                            }
                        TestMesh(listOf(target.port), slots = 1).use { mesh ->
                            val first = connect(mesh.port)
                            first.send("GET /stock/1 HTTP/1.1\r\nhost: h\r\n\r\n")
                            val running = checkNotNull(held.poll(WAIT_SECONDS, TimeUnit.SECONDS))
                            val second = connect(mesh.port)
                            val sending = thread { runCatching { second.send(upload("/orders/1", bytes, isChunked)) } }
                            awaitUntil("the upload waits") { mesh.owners[0].loadPermille == 2_000 }
                            Thread.sleep(CLOSE_MILLIS)
                            second.close()
                            sending.join()
                            Thread.sleep(CLOSE_MILLIS)
                            running.respond("ok")
                            first.read()?.body shouldBe "ok"
                            awaitUntil("the calls have ended") { mesh.owners[0].inFlight == 0 }
                            Thread.sleep(CLOSE_MILLIS)
                        }
                        uploads.shouldBeEmpty()
                        target.close()
                    }
                }
            }
        }

        describe("an upload whose caller disconnects while it waits for a token of its tenant's quota") {
            it("is not sent to a target") {
                val runs = CopyOnWriteArrayList<String>()
                val target =
                    ScriptedTarget.responding {
                        runs += it.path
                        respond("ok")
                    }
                val quotas = WaitingQuotas()
                val tenants = mapOf(TenantId("ana") to TenantConfig(setOf(ApiKeyDigest.of("ana".toByteArray()))))
                TestMesh(listOf(target.port), quotas = quotas).use { mesh ->
                    mesh.publish(tenants)
                    val caller = connect(mesh.port)
                    val key = "authorization: Bearer ana\r\n"
                    val sending = thread { runCatching { caller.send(upload("/orders/1", 200_000, false, key)) } }
                    val decide = checkNotNull(quotas.decisions.poll(WAIT_SECONDS, TimeUnit.SECONDS))
                    Thread.sleep(CLOSE_MILLIS)
                    caller.close()
                    sending.join()
                    Thread.sleep(CLOSE_MILLIS)
                    decide(QuotaDecision.Granted(QuotaToken(QuotaKey.of("ana"), Long.MAX_VALUE)))
                    Thread.sleep(CLOSE_MILLIS)
                }
                runs.shouldBeEmpty()
                target.close()
            }
        }
    })
