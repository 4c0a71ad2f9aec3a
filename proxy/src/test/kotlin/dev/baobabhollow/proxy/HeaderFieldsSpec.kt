package dev.baobabhollow.proxy

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.comparables.shouldBeGreaterThan
import io.kotest.matchers.ints.shouldBeLessThan
import io.kotest.matchers.longs.shouldBeGreaterThanOrEqual
import io.kotest.matchers.longs.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import io.netty.buffer.Unpooled
import io.netty.channel.embedded.EmbeddedChannel
import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.DefaultHttpResponse
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpVersion

private const val LIMIT = 4L * 1024 * 1024

/** Guards against heads of many short lines, whose objects take up to 50 times the bytes of the lines. */
class HeaderFieldsSpec :
    DescribeSpec({
        val settings = ProxySettings(LOOPBACK_ANY)

        fun buffer(text: String) = Unpooled.copiedBuffer(text, Charsets.US_ASCII)

        fun usedHeap(): Long {
            repeat(3) { System.gc() }
            return Runtime.getRuntime().let { it.totalMemory() - it.freeMemory() }
        }

        fun decoded(head: String): HttpRequest {
            val channel = EmbeddedChannel(StrictRequestDecoder(settings, HeldMemory(Long.MAX_VALUE / 2)))
            channel.writeInbound(buffer(head))
            return channel.readInbound<HttpRequest>().also { channel.finishAndReleaseAll() }
        }

        describe("the estimated memory of header fields") {
            // Guards against an estimate that is lower than what the fields take, so that the limit comes too late.
            listOf("a:\r\n", "a:b\r\n", "x-name: value\r\n").forEach { line ->
                it("covers what lines \"${line.trim()}\" take") {
                    val head = "GET / HTTP/1.1\r\nhost: a\r\n${line.repeat(1_000)}\r\n"
                    decoded(head)
                    val before = usedHeap()
                    val heads = List(100) { decoded(head) }
                    val taken = usedHeap() - before
                    val estimate = heads.sumOf { estimatedBytes(it.headers()) }
                    // 2% for the heads themselves and what else runs in this process.
                    taken shouldBeLessThanOrEqual estimate + estimate / 50
                }
            }
        }

        describe("an incomplete head") {
            it("is counted as held as soon as it is decoded, and released with its connection") {
                val memory = HeldMemory(LIMIT)
                val channel = EmbeddedChannel(StrictRequestDecoder(settings, memory))
                channel.writeOneInbound(buffer("GET / HTTP/1.1\r\n" + "a:\r\n".repeat(1_000)))
                // The decoder keeps the last line until it knows that no folded line follows.
                memory.bytes shouldBeGreaterThanOrEqual 999L * 144
                channel.finishAndReleaseAll()
                memory.bytes shouldBe 0
            }

            it("closes its connection once memory is exhausted") {
                val memory = HeldMemory(LIMIT)
                val channel = EmbeddedChannel(StrictRequestDecoder(settings, memory))
                memory.add(LIMIT + LIMIT / 8)
                channel.writeInbound(buffer("GET / HTTP/1.1\r\n" + "a:\r\n".repeat(1_000)))
                channel.isOpen shouldBe false
                memory.bytes shouldBe LIMIT + LIMIT / 8
            }
        }

        describe("a request of many lines") {
            // Guards against a head that the second hop rejects because of the headers that the first one added.
            it("passes both hops while its head is within the limit") {
                val target = ScriptedTarget.responding { respond("ok") }
                TestMesh(listOf(target.port)).use { mesh ->
                    val start = "GET /stock/1 HTTP/1.1\r\nhost: a\r\n"
                    listOf("a:\r\n", "a:b\r\n", "a: b\r\n", "x: ${"b".repeat(16_300)}\r\n").forEach { line ->
                        val count = (16_384 - start.length - 2) / line.length
                        connect(mesh.port).use { connection ->
                            connection.send(start + line.repeat(count) + "\r\n")
                            connection.read()?.status shouldBe 200
                        }
                    }
                }
                target.close()
            }

            it("is refused as not run when it has more fields than a head within the limit can have") {
                val target = ScriptedTarget.responding { respond("ok") }
                TestMesh(listOf(target.port)).use { mesh ->
                    connect(mesh.port).use { connection ->
                        connection.send("GET /stock/1 HTTP/1.1\r\nhost: a\r\n" + "a:\r\n".repeat(5_000) + "\r\n")
                        val response = connection.read()
                        response?.status shouldBe 431
                        response?.outcome shouldBe "not-run"
                    }
                }
                target.close()
            }
        }

        describe("a `connection` header with thousands of names") {
            // Guards against a search of all fields for each listed name, which blocks the event loop.
            it("removes the listed fields without a search for each") {
                var removals = 0
                val headers =
                    object : DefaultHttpHeaders() {
                        override fun remove(name: CharSequence): HttpHeaders {
                            removals++
                            return super.remove(name)
                        }

                        override fun remove(name: String): HttpHeaders {
                            removals++
                            return super.remove(name)
                        }
                    }
                headers.add("connection", List(4_000) { "n$it" }.joinToString(",") + ", X-Own,content-length")
                repeat(1_000) { headers.add("N$it", "v") }
                headers
                    .add("x-own", "v")
                    .add("x-kept", "v")
                    .add("content-length", "3")
                    .add("te", "trailers")
                headers.removeHopByHop()
                headers.names() shouldBe setOf("x-kept", "content-length")
                removals shouldBeLessThan 20
            }
        }

        describe("a response that is held back behind earlier ones") {
            it("counts the fields of its head as held") {
                val memory = HeldMemory(LIMIT)
                val response = HeldResponse(memory, 1_000)
                val head = DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK)
                repeat(1_000) { head.headers().add("a", "b") }
                response.add(head)
                memory.bytes shouldBeGreaterThan 144_000L
                response.clear()
                memory.bytes shouldBe 0
            }
        }
    })
