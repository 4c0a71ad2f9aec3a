package dev.baobabhollow.proxy

import dev.baobabhollow.calls.RoutingTable
import dev.baobabhollow.model.ApiKeyDigest
import dev.baobabhollow.model.TenantConfig
import dev.baobabhollow.model.TenantId
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.shouldBe
import io.netty.handler.codec.http.HttpHeaders
import io.prometheus.metrics.model.registry.PrometheusRegistry
import io.prometheus.metrics.model.snapshots.CounterSnapshot
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.concurrent.thread

/** Passes the tenant on in a header of its own, like a platform whose targets do not know the mesh headers. */
private object TenantHeaderProtocol : CallProtocol by MeshProtocol {
    override fun removeCredentials(headers: HttpHeaders) {
        MeshProtocol.removeCredentials(headers)
        headers.remove("customer")
    }

    override fun writeTargetMetadata(
        headers: HttpHeaders,
        metadata: TargetMetadata,
    ) {
        headers.removeMeshHeaders()
        metadata.tenant?.let { headers.set("customer", it.value) }
    }
}

private const val CALLS = 23

/** Time within which a call reaches the queue of its owner. */
private const val QUEUED_MILLIS = 300L

private fun tenants(vararg keys: Pair<String, String>) =
    keys.groupBy({ TenantId(it.first) }, { ApiKeyDigest.of(it.second.toByteArray()) }).mapValues {
        TenantConfig(it.value.toSet())
    }

private fun bearer(key: String) = "authorization: Bearer $key\r\n"

/** Guards against requests that run without a known key, and against keys or forged tenants that reach a target. */
class TenantSpec :
    DescribeSpec({
        val settings = ProxySettings(LOOPBACK_ANY, protocol = TenantHeaderProtocol)
        val seen = CopyOnWriteArrayList<Message>()
        val target =
            autoClose(
                ScriptedTarget.responding {
                    seen += it
                    respond("ok")
                },
            )

        /** Runs [check] against a mesh with [keys] and with an entry node that is not the owner of the target. */
        fun withMesh(
            vararg keys: Pair<String, String>,
            check: (TestMesh) -> Unit,
        ) = TestMesh(listOf(target.port), settings = settings).use { mesh ->
            seen.clear()
            mesh.publish(tenants(*keys))
            check(mesh)
        }

        describe("a request in a mesh with tenants") {
            it("reaches the target with its tenant and without its key") {
                withMesh("ana" to "k1") { mesh ->
                    val response = call(mesh.port, "/stock", headers = bearer("k1"))
                    response?.status shouldBe 200
                    seen.single().headers["customer"] shouldBe "ana"
                    seen
                        .single()
                        .headers.keys
                        .filter { it == "authorization" || it.startsWith("x-baob") } shouldBe
                        emptyList()
                }
            }

            it("gets 401 as not run if its key is unknown, missing or malformed") {
                withMesh("ana" to "k1") { mesh ->
                    val refused =
                        listOf(
                            "",
                            bearer("k2"),
                            bearer(""),
                            "authorization: Basic k1\r\n",
                            "authorization: k1\r\n",
                            "authorization: Bearerk1\r\n",
                            "authorization:\r\n",
                            bearer("k1") + bearer("k1"),
                            bearer("k1") + bearer("k2"),
                        )
                    refused.forEach {
                        val response = call(mesh.port, "/stock", headers = it)
                        response?.status shouldBe 401
                        response?.outcome shouldBe "not-run"
                        response?.reason shouldBe "unauthorized"
                        response?.headers?.get("www-authenticate") shouldBe "Bearer"
                    }
                    seen shouldBe emptyList()
                }
            }

            // A caller that lists the header as hop-by-hop must not get past the check.
            it("has its key checked before hop-by-hop headers are removed") {
                withMesh("ana" to "k1") { mesh ->
                    val listed = "connection: authorization\r\n"
                    call(mesh.port, "/stock", headers = listed + bearer("k2"))?.status shouldBe 401
                    call(mesh.port, "/stock", headers = listed + bearer("k1"))?.status shouldBe 200
                    seen.map { it.headers["customer"] } shouldContainExactly listOf("ana")
                }
            }

            it("needs no key on an exempt route, but a presented one must be known") {
                withMesh("ana" to "k1") { mesh ->
                    call(mesh.port, "/public")?.status shouldBe 200
                    call(mesh.port, "/public", headers = bearer("k1"))?.status shouldBe 200
                    call(mesh.port, "/public", headers = bearer("k2"))?.status shouldBe 401
                    seen.map { it.headers["customer"] } shouldContainExactly listOf(null, "ana")
                }
            }

            it("cannot state its tenant itself, in the header of the target or of the mesh") {
                withMesh("ana" to "k1") { mesh ->
                    val forged = "customer: eva\r\nCustomer: eva\r\nx-baobabhollow-tenant: eva\r\n"
                    call(mesh.port, "/public", headers = forged)?.status shouldBe 200
                    call(mesh.port, "/stock", headers = forged + bearer("k1"))?.status shouldBe 200
                    seen.map { it.headers["customer"] } shouldContainExactly listOf(null, "ana")
                }
            }

            it("is accepted with a key of other than ASCII characters") {
                withMesh("ana" to "clé") { mesh ->
                    val bytes = String("clé".toByteArray(), Charsets.ISO_8859_1)
                    call(mesh.port, "/stock", headers = "authorization: bearer  $bytes \r\n")?.status shouldBe 200
                }
            }
        }

        describe("a change of keys") {
            // Guards against a revoked key that keeps its access on connections that exist already.
            it("applies to the next request of a connection that stays open") {
                withMesh("ana" to "k1", "eva" to "k2") { mesh ->
                    connect(mesh.port).use { caller ->
                        caller.call("/stock", headers = bearer("k1"))?.status shouldBe 200
                        mesh.publish(tenants("ana" to "k2", "eva" to "k3"))
                        caller.call("/stock", headers = bearer("k1"))?.status shouldBe 401
                        caller.call("/stock", headers = bearer("k2"))?.status shouldBe 200
                        mesh.publish(mapOf(TenantId("ana") to TenantConfig()))
                        caller.call("/stock", headers = bearer("k2"))?.status shouldBe 401
                    }
                    seen.map { it.headers["customer"] } shouldContainExactly listOf("ana", "ana")
                }
            }

            // Guards against a key that is looked up when a request is read and not when it is opened.
            it("applies to requests that were read before it and are opened after it") {
                val started = Signal<Unit>()
                val release = Signal<Unit>()
                val paths = CopyOnWriteArrayList<String>()
                ScriptedTarget
                    .responding {
                        paths += it.path
                        started.send(Unit)
                        release.await()
                        respond("ok")
                    }.use { held ->
                        TestMesh(listOf(held.port), settings = settings).use { mesh ->
                            mesh.publish(tenants("ana" to "k1", "eva" to "k2"))
                            connect(mesh.port).use { caller ->
                                val requests =
                                    listOf("/orders/1" to "k1", "/orders/2" to "k1", "/orders/3" to "k2").map {
                                        "POST ${it.first} HTTP/1.1\r\nhost: a\r\n${bearer(it.second)}\r\n"
                                    }
                                caller.send(requests.joinToString(""))
                                started.await()
                                mesh.publish(tenants("eva" to "k2"))
                                repeat(2) { release.send(Unit) }
                                List(3) { caller.read()?.status } shouldBe listOf(200, 401, 200)
                            }
                        }
                    }
                paths shouldContainExactly listOf("/orders/1", "/orders/3")
            }
        }

        describe("a node whose entry and owner hold different versions") {
            // Guards against a key that reaches a target through an entry node that has no tenants yet.
            it("removes the key and the stated tenant at the owner") {
                withMesh("ana" to "k1") { mesh ->
                    val headers =
                        "x-baobabhollow-route: stock\r\nx-baobabhollow-release: 1\r\ncustomer: eva\r\n" + bearer("k1")
                    call(mesh.owners[0].peerCallPort, "/stock", headers = headers)?.status shouldBe 200
                    seen.single().headers["customer"] shouldBe null
                    seen.single().headers["authorization"] shouldBe null
                }
            }
        }

        describe("a call that waits for a slot") {
            // Guards against an owner that orders calls by the route alone, or does not know the tenant.
            it("is served by the priority of its tenant before that of its route") {
                val order = CopyOnWriteArrayList<String?>()
                val started = Signal<Unit>()
                val release = Signal<Unit>()
                ScriptedTarget
                    .responding {
                        order += it.headers["customer"]
                        started.send(Unit)
                        release.await()
                        respond("ok")
                    }.use { held ->
                        TestMesh(listOf(held.port), slots = 1, settings = settings).use { mesh ->
                            val priorities = mapOf("first" to null, "low" to 7, "high" to 0)
                            mesh.publish(
                                priorities.entries.associate { (name, priority) ->
                                    val key = ApiKeyDigest.of(name.toByteArray())
                                    TenantId(name) to TenantConfig(setOf(key), priority)
                                },
                            )
                            val callers =
                                priorities.keys.map { name ->
                                    thread { call(mesh.port, "/stock", headers = bearer(name)) }.also {
                                        if (name == "first") started.await() else Thread.sleep(QUEUED_MILLIS)
                                    }
                                }
                            repeat(priorities.size) { release.send(Unit) }
                            callers.forEach { it.join() }
                        }
                    }
                order shouldContainExactly listOf("first", "high", "low")
            }
        }

        describe("metrics of calls") {
            it("count the calls of at most 100 tenants by name") {
                val registry = PrometheusRegistry()
                val metrics = ProxyMetrics(registry)
                repeat(150) { metrics.countTenantCall(TenantId("t$it"), 200) }
                metrics.countTenantCall(TenantId("t7"), 503)
                val points =
                    registry
                        .scrape { it == "baobabhollow_tenant_calls" }
                        .flatMap { it.dataPoints }
                        .filterIsInstance<CounterSnapshot.CounterDataPointSnapshot>()
                        .associate { (it.labels["tenant"] to it.labels["status"]) to it.value }
                points.size shouldBe 102
                points["t7" to "2xx"] shouldBe 1.0
                points["t7" to "5xx"] shouldBe 1.0
                points["other " to "2xx"] shouldBe 50.0
            }
        }

        describe("a retried call") {
            // Guards against an attempt at the local target that removes the tenant from the next attempt.
            it("keeps its tenant") {
                val customers = CopyOnWriteArrayList<String?>()
                val failing =
                    autoClose(
                        ScriptedTarget.responding {
                            customers += it.headers["customer"]
                            respond("", "503 busy")
                        },
                    )
                val ports = listOf(failing.port, failing.port, failing.port)
                TestMesh(ports, settings = settings).use { mesh ->
                    mesh.publish(tenants("ana" to "k1"))
                    mesh.owners.forEach { owner -> call(owner.callersPort, "/stock", headers = bearer("k1")) }
                    repeat(CALLS - mesh.owners.size) { call(mesh.port, "/stock", headers = bearer("k1")) }
                }
                customers.toSet() shouldBe setOf("ana")
                customers.size shouldBeGreaterThan CALLS
            }
        }

        describe("a mesh without tenants") {
            it("forwards credentials and the tenant header as they are, and never the mesh header") {
                withMesh { mesh ->
                    val headers = "authorization: Basic k1\r\ncustomer: eva\r\nx-baobabhollow-tenant: eva\r\n"
                    call(mesh.port, "/stock", headers = headers)?.status shouldBe 200
                    seen.single().headers["authorization"] shouldBe "Basic k1"
                    seen.single().headers["customer"] shouldBe "eva"
                    seen.single().headers["x-baobabhollow-tenant"] shouldBe null
                }
            }

            it("reads no key") {
                var reads = 0
                val counting =
                    object : CallProtocol by TenantHeaderProtocol {
                        override fun readApiKey(headers: HttpHeaders) =
                            MeshProtocol.readApiKey(headers).also { reads++ }
                    }
                val without = ProxySettings(LOOPBACK_ANY, protocol = counting)
                TestMesh(listOf(target.port), settings = without).use { mesh ->
                    call(mesh.port, "/stock", headers = bearer("k1"))?.status shouldBe 200
                    reads shouldBe 0
                    mesh.publish(tenants("ana" to "k1"))
                    call(mesh.port, "/stock", headers = bearer("k1"))?.status shouldBe 200
                    reads shouldBe 1
                }
            }
        }

        describe("a node without a configuration") {
            // A key that the node does not know yet may be valid.
            it("answers 503 and not 401") {
                withMesh("ana" to "k1") { mesh ->
                    mesh.table = RoutingTable.EMPTY
                    call(mesh.port, "/stock", headers = bearer("k2"))?.status shouldBe 503
                }
            }
        }
    })
