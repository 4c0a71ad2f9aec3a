package dev.baobabhollow.proxy

import dev.baobabhollow.calls.RetryBudgetSettings
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.shouldNotBe
import java.net.ServerSocket
import java.util.concurrent.ConcurrentHashMap

class RetriedCallSpec :
    DescribeSpec({
        describe("a call whose first attempt may have run") {
            // Guards against the outcome "not run" when it is true only of the last attempt.
            it("has an unknown outcome even when its last attempt did not run") {
                val seen = ConcurrentHashMap.newKeySet<String>()
                val stopping =
                    ScriptedTarget { connection ->
                        val head = connection.read(withBody = false) ?: return@ScriptedTarget
                        seen.add(head.path)
                    }
                val closedPort = ServerSocket(0).use { it.localPort }
                val settings = ProxySettings(LOOPBACK_ANY, retries = RetryBudgetSettings(minimumPerSecond = 100))
                TestMesh(listOf(stopping.port, closedPort), settings = settings).use { mesh ->
                    repeat(40) {
                        val path = "/stock/$it"
                        val response = call(mesh.port, path)
                        response shouldNotBe null
                        if (path in seen) response?.outcome shouldBe "unknown"
                    }
                }
                seen.size shouldNotBe 0
                stopping.close()
            }
        }
    })
