package dev.baobabhollow.proxy

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.ints.shouldBeLessThan
import io.kotest.matchers.shouldBe
import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.handler.codec.http.DefaultHttpContent
import io.netty.handler.codec.http.DefaultLastHttpContent
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.LastHttpContent

private const val CHUNK_BYTES = 8
private const val BODY_BYTES = 360_000
private const val READ_BUFFER_BYTES = 65_536

class PendingBodySpec :
    DescribeSpec({
        val memory = HeldMemory(Long.MAX_VALUE)

        afterTest { memory.bytes shouldBe 0 }

        fun textOf(parts: List<HttpContent>) = parts.joinToString("") { it.content().toString(Charsets.US_ASCII) }

        fun partsOf(send: ((HttpContent) -> Unit) -> Unit): List<HttpContent> {
            val parts = mutableListOf<HttpContent>()
            send { parts += it }
            return parts
        }

        /** Bytes of memory that [parts] keep, also as slices of larger buffers. */
        fun memoryOf(parts: List<HttpContent>) =
            parts.sumOf { part -> generateSequence<ByteBuf>(part.content()) { it.unwrap() }.last().capacity() }

        describe("a queued body") {
            // Guards against a heap that fills with the objects of a body's chunks (review/2).
            it("takes few objects when its chunks are short") {
                val body = PendingBody(memory)
                repeat(BODY_BYTES / CHUNK_BYTES) {
                    body.add(DefaultHttpContent(Unpooled.copiedBuffer("%08d".format(it), Charsets.US_ASCII)))
                }
                body.add(LastHttpContent.EMPTY_LAST_CONTENT)
                body.bytes shouldBe BODY_BYTES
                val parts = partsOf(body::drain)
                parts.size shouldBeLessThan BODY_BYTES / 8_192
                textOf(parts) shouldBe (0 until BODY_BYTES / CHUNK_BYTES).joinToString("") { "%08d".format(it) }
                (parts.last() is LastHttpContent) shouldBe true
                parts.forEach { it.release() }
                body.bytes shouldBe 0
                body.isEmpty shouldBe true
            }

            // Guards against a few bytes that keep the whole read buffer in memory.
            it("does not keep the read buffer of a short part") {
                val body = PendingBody(memory)
                val readBuffers = List(20) { Unpooled.buffer(READ_BUFFER_BYTES).writeZero(READ_BUFFER_BYTES) }
                readBuffers.forEach { body.add(DefaultHttpContent(it.readRetainedSlice(1_000))) }
                val parts = partsOf(body::drain)
                memoryOf(parts) shouldBeLessThan 20 * 1_000 * 2
                parts.forEach { it.release() }
                readBuffers.forEach { it.refCnt() shouldBe 1 }
            }

            // Guards against many trailers, which are no bytes of the body, that are held without a limit.
            it("counts what it holds, also for trailers") {
                val body = PendingBody(memory)
                body.add(DefaultHttpContent(Unpooled.copiedBuffer("a".repeat(100), Charsets.US_ASCII)))
                memory.bytes shouldBe 100
                val last = DefaultLastHttpContent()
                repeat(50) { last.trailingHeaders().add("t$it", "v") }
                body.add(last)
                (memory.bytes > 50 * 128) shouldBe true
                body.clear()
                memory.bytes shouldBe 0
            }

            it("is not copied when its parts fill their buffers") {
                val body = PendingBody(memory)
                val part = Unpooled.buffer(READ_BUFFER_BYTES).writeZero(READ_BUFFER_BYTES)
                body.add(DefaultHttpContent(part))
                val parts = partsOf(body::drain)
                (parts.single().content() === part) shouldBe true
                part.release()
            }

            // Guards against a repeated body to which parts are added that belong to the next copy.
            it("can be passed on again while parts are added, with its trailers") {
                val body = PendingBody(memory)
                body.add(DefaultHttpContent(Unpooled.copiedBuffer("one ", Charsets.US_ASCII)))
                val early = partsOf(body::replay)
                body.add(DefaultHttpContent(Unpooled.copiedBuffer("two ", Charsets.US_ASCII)))
                val last = DefaultLastHttpContent(Unpooled.copiedBuffer("three", Charsets.US_ASCII))
                last.trailingHeaders().set("sum", "3")
                body.add(last)
                val whole = partsOf(body::replay)
                textOf(early) shouldBe "one "
                (early.last() is LastHttpContent) shouldBe false
                textOf(whole) shouldBe "one two three"
                (whole.last() as LastHttpContent).trailingHeaders().get("sum") shouldBe "3"
                (early + whole).forEach { it.release() }
                body.clear()
                body.isEmpty shouldBe true
            }
        }
    })
