package dev.baobabhollow.proxy

import dev.baobabhollow.calls.ResponseTimeEstimate
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.longs.shouldBeGreaterThan
import io.kotest.matchers.longs.shouldBeLessThan
import io.kotest.matchers.shouldBe
import io.kotest.matchers.shouldNotBe
import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.HttpResponse

/** Targets that state their work duration in the header `duration`, and refusals in `not-run`. */
private object StatedDurationProtocol : CallProtocol by MeshProtocol {
    override fun readResponseMetadata(head: HttpResponse) =
        ResponseMetadata(
            callId = null,
            isNotRun = head.headers().contains("not-run"),
            workDurationPercent = head.headers().getInt("duration"),
        )
}

class TargetEstimateSpec :
    DescribeSpec({
        val settings = ProxySettings(LOOPBACK_ANY, protocol = StatedDurationProtocol)
        val route = "x-baobabhollow-route: stock\r\nx-baobabhollow-release: 1\r\n"
        val name = MeshHeaders.ESTIMATE.toString()

        fun estimateOf(response: Message?) =
            response?.headers?.get(name)?.let { DefaultHttpHeaders().set(name, it).takeEstimate() }

        describe("a target that states its work duration") {
            // Guards against estimates that entry nodes do not get, or that callers or targets can see or set.
            it("has an estimate in responses and refusals between nodes, but not in those to callers") {
                var duration = 100
                val target =
                    ScriptedTarget.responding { request ->
                        val extra = "duration: $duration\r\n$name: 1,1,1\r\n"
                        if (request.path == "/stock/full") {
                            respond("", "503 full", "${extra}not-run: 1\r\n")
                        } else {
                            respond("ok", headers = extra)
                        }
                    }
                TestMesh(listOf(target.port), settings = settings).use { mesh ->
                    val owner = mesh.owners[0]
                    // The estimate needs a served call before it.
                    call(owner.peerCallPort, "/stock/1", headers = route)?.headers?.get(name) shouldBe null
                    awaitUntil("an estimate arrives") {
                        estimateOf(call(owner.peerCallPort, "/stock/2", headers = route)) != null
                    }
                    duration = 250
                    val slow = checkNotNull(estimateOf(call(owner.peerCallPort, "/stock/3", headers = route)))
                    slow.serviceMicros shouldBeGreaterThan slow.usualServiceMicros
                    slow.serviceMicros shouldBeLessThan 60_000_000L
                    owner.workDurationPercent shouldBe 250
                    val refusal = call(owner.peerCallPort, "/stock/full", headers = route)
                    refusal?.reason shouldBe "target-refused"
                    estimateOf(refusal) shouldNotBe null
                    call(mesh.port, "/stock/4")?.headers?.get(name) shouldBe null
                    call(mesh.port, "/stock/full")?.headers?.get(name) shouldBe null
                }
                target.close()
            }
        }

        describe("a target that states no work duration") {
            // Guards against changes on the wire for deployments whose targets do not state it.
            it("has no estimate in responses between nodes") {
                val target = ScriptedTarget.responding { respond("ok") }
                TestMesh(listOf(target.port), settings = settings).use { mesh ->
                    repeat(5) {
                        val response = call(mesh.owners[0].peerCallPort, "/stock/$it", headers = route)
                        response?.status shouldBe 200
                        response?.headers?.get(name) shouldBe null
                    }
                    mesh.owners[0].workDurationPercent shouldBe null
                }
                target.close()
            }
        }

        describe("the header of an estimate") {
            // Guards against a corrupt header that becomes an estimate.
            it("is read only if it has three times") {
                val read = { text: String -> DefaultHttpHeaders().set(name, text).takeEstimate() }
                read("1,2,3") shouldBe ResponseTimeEstimate(1, 2, 3)
                listOf("", "1,2", "1,2,3,4", "1,2,x", "1,2,-3", "1,2,9999999999999").forEach { read(it) shouldBe null }
            }
        }
    })
