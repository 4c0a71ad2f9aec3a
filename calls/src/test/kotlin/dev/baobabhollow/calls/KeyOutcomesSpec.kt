package dev.baobabhollow.calls

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.longs.shouldBeLessThan
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import org.jetbrains.kotlinx.lincheck.annotations.Operation
import org.jetbrains.kotlinx.lincheck.check
import org.jetbrains.kotlinx.lincheck.strategy.managed.modelchecking.ModelCheckingOptions

private const val REQUEST = "POST /orders"

private fun key(
    deadlineMillis: Long,
    name: String = "a",
) = CallerKey("$deadlineMillis-$name", deadlineMillis)

/** Operations on one key. Their results must match some sequential order of the operations. */
class KeyOutcomesOperations {
    private val outcomes = KeyOutcomes()
    private val key = key(100)

    @Operation
    fun begin(): String = outcomes.begin(key, REQUEST, 0).toString()

    @Operation
    fun finish() = outcomes.finish(key, null)

    @Operation
    fun abandon() = outcomes.abandon(key)
}

private const val HEAP_LIMIT = 8L * 1024 * 1024
private val NO_LIMIT = KeyOutcomeLimits(maxTotalBytes = Long.MAX_VALUE)

class KeyOutcomesSpec :
    DescribeSpec({
        fun response(bytes: Int) = CachedResponse(200, emptyList(), ByteArray(bytes))

        describe("the outcomes of keys") {
            it("start a key once, and again only if its call was not sent to the target") {
                val outcomes = KeyOutcomes()
                outcomes.begin(key(100), REQUEST, 0) shouldBe KeyBeginResult.Started
                outcomes.begin(key(100), REQUEST, 1) shouldBe KeyBeginResult.Running
                outcomes.abandon(key(100))
                outcomes.begin(key(100), REQUEST, 2) shouldBe KeyBeginResult.Started
                outcomes.finish(key(100), null)
                outcomes.abandon(key(100))
                outcomes.begin(key(100), REQUEST, 3) shouldBe KeyBeginResult.Ran
            }

            it("return the cached response of the same request, but not of another one") {
                val outcomes = KeyOutcomes()
                val cached = response(10)
                outcomes.begin(key(100), REQUEST, 0)
                outcomes.finish(key(100), cached)
                outcomes.begin(key(100), REQUEST, 1).shouldBeInstanceOf<KeyBeginResult.Answered>().response shouldBe
                    cached
                outcomes.begin(key(100), "POST /quotes", 1) shouldBe KeyBeginResult.OtherRequest
            }

            // Guards against a limit that removes a key instead of its response and so lets its request run twice.
            it("drop responses, never keys, at their limits") {
                val bytes = response(10).bytes
                val keyBytes = KeyOutcomes(NO_LIMIT).apply { begin(key(100, "a"), REQUEST, 0) }.bytes
                val limits = KeyOutcomeLimits(maxResponseBytes = bytes, maxTotalBytes = 3 * keyBytes + bytes)
                val outcomes = KeyOutcomes(limits)
                listOf("a" to 10, "b" to 10, "c" to 11).forEach { (name, length) ->
                    outcomes.begin(key(100, name), REQUEST, 0) shouldBe KeyBeginResult.Started
                    outcomes.finish(key(100, name), response(length))
                }
                outcomes.begin(key(100, "a"), REQUEST, 0) shouldBe KeyBeginResult.Ran
                outcomes.begin(key(100, "b"), REQUEST, 0).shouldBeInstanceOf<KeyBeginResult.Answered>()
                outcomes.begin(key(100, "c"), REQUEST, 0) shouldBe KeyBeginResult.Ran
                outcomes.begin(key(100, "d"), REQUEST, 0) shouldBe KeyBeginResult.Full
                outcomes.begin(key(200, "d"), REQUEST, 100) shouldBe KeyBeginResult.Started
                outcomes.size shouldBe 1
                outcomes.bytes shouldBe keyBytes
            }

            // Guards against a node that ends for lack of memory because the objects of keys and headers do not count.
            it("take no more of the heap than their limit") {
                val outcomes = KeyOutcomes(KeyOutcomeLimits(maxTotalBytes = HEAP_LIMIT))
                val before = usedHeap()
                val headers = { List(100) { "x-$it" to "$it" } }
                val isFull =
                    (1..100_000).any {
                        val key = key(100, "key-of-a-request-with-a-usual-length-$it")
                        val begun = outcomes.begin(key, REQUEST, 0)
                        outcomes.finish(key, CachedResponse(200, headers(), ByteArray(0)))
                        begun == KeyBeginResult.Full
                    }
                isFull shouldBe true
                usedHeap() - before shouldBeLessThan HEAP_LIMIT
                outcomes.size shouldBeGreaterThan 1
            }

            // Guards against a second run after the clock has stepped back over the deadline of a removed key.
            it("refuse a removed key after the clock has stepped back") {
                val outcomes = KeyOutcomes()
                outcomes.begin(key(100), REQUEST, 0)
                outcomes.finish(key(100), null)
                outcomes.begin(key(200, "b"), REQUEST, 150)
                outcomes.begin(key(100), REQUEST, 50) shouldBe KeyBeginResult.Refused(KeyError.Expired(100))
            }

            // Guards against two calls that start with the same key at the same time.
            it("are linearizable") {
                ModelCheckingOptions()
                    // Minimizing takes minutes on a busy machine, and a hung scenario longer.
                    .minimizeFailedScenario(false)
                    .iterations(8)
                    .invocationsPerIteration(200)
                    .threads(2)
                    .actorsPerThread(2)
                    .check(KeyOutcomesOperations::class.java)
            }
        }
    })
