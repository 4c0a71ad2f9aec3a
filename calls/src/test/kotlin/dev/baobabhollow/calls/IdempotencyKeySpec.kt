package dev.baobabhollow.calls

import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import dev.baobabhollow.model.NodeId
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf

class IdempotencyKeySpec :
    DescribeSpec({
        describe("an issued key") {
            val key = IssuedKey.issue(NodeId("vm-7.antigua"), 3, 5_000) { it.fill(10) }

            it("has the documented form and survives parsing, also with dots in the node's name") {
                key.text shouldBe "bh1.vm-7.antigua.3.5000.${"0a".repeat(16)}"
                IdempotencyKey.parse(key.text).get() shouldBe key
            }

            // Guards against two spellings of one key, which would count as two keys at the owner.
            it("has exactly one valid spelling") {
                listOf(".+3.", ".-3.", ".03.", "..").forEach { other ->
                    val text = key.text.replaceFirst(".3.", other)
                    IdempotencyKey.parse(text).getError().shouldBeInstanceOf<KeyError.Malformed>()
                }
                IdempotencyKey.parse(key.text.uppercase().replace("BH1", "bh1")).isErr shouldBe true
                IdempotencyKey.parse(key.text + "0").isErr shouldBe true
            }

            it("is refused when a field is missing") {
                listOf("bh1.", "bh1.a", "bh1.a.1.2", "bh1..1.2.${"0a".repeat(16)}").forEach {
                    IdempotencyKey.parse(it).getError().shouldBeInstanceOf<KeyError.Malformed>()
                }
            }
        }

        describe("a caller-made key") {
            it("contains its deadline") {
                IdempotencyKey.parse("5000-order-7").get() shouldBe CallerKey("5000-order-7", 5_000)
            }

            it("is refused without a deadline or a name, or in another spelling") {
                listOf("", "5000", "5000-", "-x", "05000-x", "x-y", "99999999999999999999-x", "5000-a b", "5000-\u00e9")
                    .forEach { IdempotencyKey.parse(it).getError().shouldBeInstanceOf<KeyError.Malformed>() }
                IdempotencyKey.parse("5000-" + "x".repeat(MAX_KEY_CHARS)).isErr shouldBe true
            }

            // Guards against keys that outlive the records of their claims.
            it("is valid until its deadline and for a bounded time before") {
                val key = CallerKey("700000-x", 700_000)
                key.checkLifetime(99_999).getError() shouldBe KeyError.DeadlineTooFar(700_000)
                key.checkLifetime(100_000).get() shouldBe key
                key.checkLifetime(699_999).get() shouldBe key
                key.checkLifetime(700_000).getError() shouldBe KeyError.Expired(700_000)
            }
        }
    })
