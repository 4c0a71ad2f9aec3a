package dev.baobabhollow.calls

import dev.baobabhollow.model.ClaimsRecord
import dev.baobabhollow.model.KeyClaim
import dev.baobabhollow.model.LogEntry
import dev.baobabhollow.model.LogRecord
import dev.baobabhollow.model.WriterId
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.longs.shouldBeLessThan
import io.kotest.matchers.shouldBe

private const val DEADLINE_MILLIS = 1_000_000L
private const val KEY = "$DEADLINE_MILLIS-order"
private const val CLAIMS = 20_000
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
        fun table(vararg entries: LogEntry) = ClaimTable(0, 1).apply { entries.forEach(::add) }

        describe("a claim table") {
            it("gives a key to its first claimant") {
                val table = table(claimEntry(0, "a"), claimEntry(1, "b"))
                table.status(KEY, "a") shouldBe ClaimStatus.Won
                table.status(KEY, "b") shouldBe ClaimStatus.Lost("a")
            }

            it("frees a key when its claimant releases it, but not when another claimant does") {
                val table = table(claimEntry(0, "a"), claimEntry(1, "b", release = true))
                table.status(KEY, "a") shouldBe ClaimStatus.Won
                table.add(claimEntry(2, "a", release = true))
                table.add(claimEntry(3, "c"))
                table.status(KEY, "c") shouldBe ClaimStatus.Won
            }

            // Guards against an append that takes effect after its claimant has given up and so blocks the key.
            it("ignores a claim that arrives after its release") {
                val table = table(claimEntry(0, "a", release = true), claimEntry(1, "a"), claimEntry(2, "b"))
                table.status(KEY, "a") shouldBe ClaimStatus.Lost("b")
                table.status(KEY, "b") shouldBe ClaimStatus.Won
            }

            // Guards against a claim that wins after other readers have removed the key.
            it("never lets a claim win at or after the key's deadline by log time") {
                val late = claimEntry(0, "a", appendedAtMillis = DEADLINE_MILLIS)
                table(late).status(KEY, "a") shouldBe ClaimStatus.Unknown
                val inTime = claimEntry(0, "a", appendedAtMillis = DEADLINE_MILLIS - 1)
                table(inTime).status(KEY, "a") shouldBe ClaimStatus.Won
            }

            it("never lets a claim win earlier than the longest claim lifetime before its deadline") {
                val early = claimEntry(0, "a", appendedAtMillis = START_MILLIS - 1)
                table(early, claimEntry(1, "b")).status(KEY, "b") shouldBe ClaimStatus.Won
            }

            it("removes keys at their deadline") {
                val table = table(claimEntry(0, "a"))
                table.add(claimEntry(1, "b", appendedAtMillis = DEADLINE_MILLIS))
                table.size shouldBe 0
                table.status(KEY, "a") shouldBe ClaimStatus.Unknown
            }

            // Guards against a retention shorter than the lifetime of keys: an earlier claim may have been trimmed.
            it("decides no key whose first claim may be missing") {
                val table = ClaimTable(0, 1)
                table.skipTo(5)
                table.add(claimEntry(5, "b"))
                table.status(KEY, "b") shouldBe ClaimStatus.Unknown
                val laterKey = "${DEADLINE_MILLIS + 6}-other"
                table.add(claimEntry(6, "b", key = laterKey))
                table.status(laterKey, "b") shouldBe ClaimStatus.Won
            }

            it("detects a gap between entries") {
                val table = table(claimEntry(0, "x", key = "${DEADLINE_MILLIS}-x"), claimEntry(2, "b"))
                table.status(KEY, "b") shouldBe ClaimStatus.Unknown
            }

            // Guards against a size limit that lets a dropped key be won twice, or that blocks all keys for minutes.
            it("decides no key that it may have dropped, but still those with other deadlines") {
                val table = ClaimTable(0, 1, maxKeys = 1)
                val dropped = "${DEADLINE_MILLIS + 5_000}-dropped"
                val sameSecond = "${DEADLINE_MILLIS + 5_001}-other"
                val later = "${DEADLINE_MILLIS + 6_000}-later"
                table.add(claimEntry(0, "a"))
                table.add(claimEntry(1, "a", key = dropped, appendedAtMillis = START_MILLIS + 6_000))
                table.status(dropped, "a") shouldBe ClaimStatus.Unknown
                table.status(KEY, "a") shouldBe ClaimStatus.Won
                table.add(claimEntry(2, "b", key = dropped, appendedAtMillis = DEADLINE_MILLIS))
                table.status(dropped, "b") shouldBe ClaimStatus.Unknown
                val larger = ClaimTable(0, 1, maxKeys = 2)
                listOf("1", "2", "3").forEachIndexed { offset, name ->
                    val key = if (name == "3") dropped else "$DEADLINE_MILLIS-$name"
                    larger.add(claimEntry(offset.toLong(), "a", key = key, appendedAtMillis = START_MILLIS + 6_000))
                }
                larger.add(claimEntry(3, "b", key = sameSecond, appendedAtMillis = DEADLINE_MILLIS))
                larger.add(claimEntry(4, "b", key = later, appendedAtMillis = DEADLINE_MILLIS))
                larger.status(sameSecond, "b") shouldBe ClaimStatus.Unknown
                larger.status(later, "b") shouldBe ClaimStatus.Won
            }

            // Guards against a node that ends for lack of memory because its limit of keys allows more than its heap holds.
            it("takes no more of the heap for a key than its limit assumes") {
                val table = ClaimTable(0, 1)
                val before = usedHeap()
                repeat(CLAIMS) {
                    val key = "${DEADLINE_MILLIS + it}-key-of-a-request-with-a-usual-length-$it"
                    table.add(claimEntry(it.toLong(), "node-of-a-usual-length/$START_MILLIS/claims/$it", key = key))
                }
                table.size shouldBe CLAIMS
                usedHeap() - before shouldBeLessThan CLAIMS.toLong() * ClaimTable.KEY_BYTES
            }

            it("decides no new key while it reads claims for keys of other partitions") {
                val foreign = (0..99).map { "$DEADLINE_MILLIS-$it" }.first { partitionOf(it, 2) == 1 }
                val mine = (0..99).map { "$DEADLINE_MILLIS-$it" }.first { partitionOf(it, 2) == 0 }
                val table = ClaimTable(0, 2)
                table.add(claimEntry(0, "a", key = foreign))
                table.add(claimEntry(1, "a", key = mine))
                table.status(mine, "a") shouldBe ClaimStatus.Unknown
            }
        }
    })
