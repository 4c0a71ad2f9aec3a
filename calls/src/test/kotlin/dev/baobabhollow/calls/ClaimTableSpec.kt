package dev.baobabhollow.calls

import dev.baobabhollow.model.ClaimsRecord
import dev.baobabhollow.model.KeyClaim
import dev.baobabhollow.model.LogEntry
import dev.baobabhollow.model.LogRecord
import dev.baobabhollow.model.WriterId
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe

private const val DEADLINE_MILLIS = 1_000_000L
private const val KEY = "$DEADLINE_MILLIS-order"
private const val START_MILLIS = DEADLINE_MILLIS - MAX_CLAIM_LIFETIME_MILLIS

internal fun claimEntry(
    offset: Long,
    claimant: String,
    release: Boolean = false,
    key: String = KEY,
    appendedAtMillis: Long = START_MILLIS + offset,
): LogEntry {
    val claim = KeyClaim(key, claimant, key.substringBefore('-').toLong(), release)
    return LogEntry(offset, appendedAtMillis, LogRecord(WriterId("w"), offset + 1, ClaimsRecord(listOf(claim))))
}

class ClaimTableSpec :
    DescribeSpec({
        fun book(vararg entries: LogEntry) = ClaimTable(0, 1).apply { entries.forEach(::add) }

        describe("a claim book") {
            it("gives a key to its first claimant") {
                val book = book(claimEntry(0, "a"), claimEntry(1, "b"))
                book.answer(KEY, "a") shouldBe ClaimStatus.Won
                book.answer(KEY, "b") shouldBe ClaimStatus.Lost("a")
            }

            it("frees a key when its claimant releases it, and for nobody else's release") {
                val book = book(claimEntry(0, "a"), claimEntry(1, "b", release = true))
                book.answer(KEY, "a") shouldBe ClaimStatus.Won
                book.add(claimEntry(2, "a", release = true))
                book.add(claimEntry(3, "c"))
                book.answer(KEY, "c") shouldBe ClaimStatus.Won
            }

            // Guards against an append that takes effect after its claimant gave up: it would block the key.
            it("ignores a claim that arrives after its release") {
                val book = book(claimEntry(0, "a", release = true), claimEntry(1, "a"), claimEntry(2, "b"))
                book.answer(KEY, "a") shouldBe ClaimStatus.Lost("b")
                book.answer(KEY, "b") shouldBe ClaimStatus.Won
            }

            // Guards against a claim that wins after other readers have forgotten the key.
            it("never lets a claim win at or after the key's deadline by log time") {
                val late = claimEntry(0, "a", appendedAtMillis = DEADLINE_MILLIS)
                book(late).answer(KEY, "a") shouldBe ClaimStatus.Unknown
                val inTime = claimEntry(0, "a", appendedAtMillis = DEADLINE_MILLIS - 1)
                book(inTime).answer(KEY, "a") shouldBe ClaimStatus.Won
            }

            it("never lets a claim win earlier than keys are remembered") {
                val early = claimEntry(0, "a", appendedAtMillis = START_MILLIS - 1)
                book(early, claimEntry(1, "b")).answer(KEY, "b") shouldBe ClaimStatus.Won
            }

            it("forgets keys at their deadline") {
                val book = book(claimEntry(0, "a"))
                book.add(claimEntry(1, "b", appendedAtMillis = DEADLINE_MILLIS))
                book.size shouldBe 0
                book.answer(KEY, "a") shouldBe ClaimStatus.Unknown
            }

            // Guards against a retention shorter than the lifetime of keys: an earlier claim may have been trimmed.
            it("decides no key whose first claim may be missing") {
                val book = ClaimTable(0, 1)
                book.skipTo(5)
                book.add(claimEntry(5, "b"))
                book.answer(KEY, "b") shouldBe ClaimStatus.Unknown
                val laterKey = "${DEADLINE_MILLIS + 6}-other"
                book.add(claimEntry(6, "b", key = laterKey))
                book.answer(laterKey, "b") shouldBe ClaimStatus.Won
            }

            it("notices a gap between entries by itself") {
                val book = book(claimEntry(0, "x", key = "${DEADLINE_MILLIS}-x"), claimEntry(2, "b"))
                book.answer(KEY, "b") shouldBe ClaimStatus.Unknown
            }

            // Guards against a bound on memory that lets a dropped key be won twice, or that stops all keys for
            // minutes.
            it("decides no key that it may have dropped, but keys of another deadline") {
                val book = ClaimTable(0, 1, maxKeys = 1)
                val dropped = "${DEADLINE_MILLIS + 5_000}-dropped"
                val sameSecond = "${DEADLINE_MILLIS + 5_001}-other"
                val later = "${DEADLINE_MILLIS + 6_000}-later"
                book.add(claimEntry(0, "a"))
                book.add(claimEntry(1, "a", key = dropped, appendedAtMillis = START_MILLIS + 6_000))
                book.answer(dropped, "a") shouldBe ClaimStatus.Unknown
                book.answer(KEY, "a") shouldBe ClaimStatus.Won
                book.add(claimEntry(2, "b", key = dropped, appendedAtMillis = DEADLINE_MILLIS))
                book.answer(dropped, "b") shouldBe ClaimStatus.Unknown
                val roomy = ClaimTable(0, 1, maxKeys = 2)
                listOf("1", "2", "3").forEachIndexed { offset, name ->
                    val key = if (name == "3") dropped else "$DEADLINE_MILLIS-$name"
                    roomy.add(claimEntry(offset.toLong(), "a", key = key, appendedAtMillis = START_MILLIS + 6_000))
                }
                roomy.add(claimEntry(3, "b", key = sameSecond, appendedAtMillis = DEADLINE_MILLIS))
                roomy.add(claimEntry(4, "b", key = later, appendedAtMillis = DEADLINE_MILLIS))
                roomy.answer(sameSecond, "b") shouldBe ClaimStatus.Unknown
                roomy.answer(later, "b") shouldBe ClaimStatus.Won
            }

            it("decides no new key while it sees keys of other partitions") {
                val foreign = (0..99).map { "$DEADLINE_MILLIS-$it" }.first { partitionOf(it, 2) == 1 }
                val mine = (0..99).map { "$DEADLINE_MILLIS-$it" }.first { partitionOf(it, 2) == 0 }
                val book = ClaimTable(0, 2)
                book.add(claimEntry(0, "a", key = foreign))
                book.add(claimEntry(1, "a", key = mine))
                book.answer(mine, "a") shouldBe ClaimStatus.Unknown
            }
        }
    })
