package dev.baobabhollow.peers

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.nulls.shouldBeNull
import io.kotest.matchers.shouldBe
import kotlin.random.Random

/** Guards the size of quota messages, on which the control traffic depends, and the tolerance for malformed ones. */
class QuotaCodecSpec :
    DescribeSpec({
        describe("a question") {
            it("has 9 bytes and keeps all 40 bits of the key") {
                val question = QuotaMessage.Question(65_535, 0xDC_BA98_7654L, 255)
                val bytes = QuotaCodec.encode(question)
                bytes.size shouldBe 9
                QuotaCodec.decode(bytes) shouldBe question
            }
        }

        describe("an answer") {
            it("has 5 bytes and rounds the time up, so that no node asks too early") {
                val bytes = QuotaCodec.encode(QuotaMessage.Answer(40_000, 200, 11, isAllocator = true))
                bytes.size shouldBe 5
                QuotaCodec.decode(bytes) shouldBe QuotaMessage.Answer(40_000, 200, 15, isAllocator = true)
            }

            it("has 4 bytes if it grants everything") {
                val answer = QuotaMessage.Answer(65_535, 255, 0, isAllocator = true)
                QuotaCodec.encode(answer).size shouldBe 4
                QuotaCodec.decode(QuotaCodec.encode(answer)) shouldBe answer
            }

            it("bounds the time") {
                val bytes = QuotaCodec.encode(QuotaMessage.Answer(1, 0, 60_000, isAllocator = true))
                QuotaCodec.decode(bytes) shouldBe QuotaMessage.Answer(1, 0, 1_270, isAllocator = true)
            }

            it("tells that its sender is not the allocator") {
                val answer = QuotaMessage.Answer(1, 0, 0, isAllocator = false)
                QuotaCodec.decode(QuotaCodec.encode(answer)) shouldBe answer
            }
        }

        describe("other bytes") {
            it("are ignored, and never taken for a datagram of another kind") {
                val random = Random(3)
                repeat(10_000) {
                    val bytes = random.nextBytes(random.nextInt(12))
                    val message = QuotaCodec.decode(bytes)
                    if (!QuotaCodec.isQuotaMessage(bytes)) message.shouldBeNull()
                }
                QuotaCodec.isQuotaMessage(byteArrayOf(0xA2.toByte(), 1, 2)) shouldBe false
                QuotaCodec.decode(ByteArray(0)).shouldBeNull()
            }
        }
    })
