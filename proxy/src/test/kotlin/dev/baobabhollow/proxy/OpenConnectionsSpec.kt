package dev.baobabhollow.proxy

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe

/** Guards against a node that runs out of memory because callers keep many connections open without using them. */
class OpenConnectionsSpec :
    DescribeSpec({
        describe("the open connections of an event loop") {
            fun openConnections(closed: MutableList<String>) = OpenConnections<String>(2, closed::add)

            it("are closed above the limit, beginning with the one that has been idle for longest") {
                val closed = mutableListOf<String>()
                val connections = openConnections(closed)
                listOf("a", "b").forEach { connections.opened(it) }
                connections.busy("a")
                connections.idle("a")
                connections.opened("c")
                closed shouldBe listOf("b")
                connections.closed("b")
                connections.count shouldBe 2
                connections.opened("d")
                closed shouldBe listOf("b", "a")
            }

            it("are kept while they are busy, so that a new one is closed if all others are") {
                val closed = mutableListOf<String>()
                val connections = openConnections(closed)
                listOf("a", "b").forEach {
                    connections.opened(it)
                    connections.busy(it)
                }
                connections.opened("c")
                closed shouldBe listOf("c")
            }

            it("are kept if they are never idle") {
                val closed = mutableListOf<String>()
                val connections = openConnections(closed)
                listOf("a", "b", "c").forEach { connections.opened(it, isIdle = false) }
                closed shouldBe emptyList()
                connections.count shouldBe 3
            }
        }

        describe("a node with more callers' connections than it may keep") {
            it("closes the longest idle ones, and serves those in use and new ones") {
                val settings = ProxySettings(LOOPBACK_ANY, eventLoops = 1, maxConnections = MAX_CONNECTIONS)
                val started = Signal<Unit>()
                val release = Signal<Unit>()
                val target = ScriptedTarget.holding("/stock/slow", started, release)
                TestMesh(listOf(target.port), settings = settings).use { mesh ->
                    val busy = connect(mesh.port)
                    busy.send("GET /stock/slow HTTP/1.1\r\nhost: a\r\n\r\n")
                    started.await()
                    val idle =
                        List(MAX_CONNECTIONS * 10) {
                            connect(mesh.port).apply {
                                call("/stock/1")?.body shouldBe
                                    "ok"
                            }
                        }
                    awaitUntil("connections are closed") { mesh.entry.openConnections <= MAX_CONNECTIONS }
                    idle.first().readToEnd() shouldBe ""
                    idle.last().call("/stock/2")?.body shouldBe "ok"
                    release.send(Unit)
                    busy.read()?.body shouldBe "ok"
                    idle.forEach { it.close() }
                    mesh.owners[0].openConnections shouldBeLessThanOrEqual MAX_CONNECTIONS
                }
                target.close()
            }
        }
    }) {
    private companion object {
        const val MAX_CONNECTIONS = 20
    }
}
