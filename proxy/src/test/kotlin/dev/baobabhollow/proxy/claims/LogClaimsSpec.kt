package dev.baobabhollow.proxy.claims

import com.github.michaelbull.result.get
import dev.baobabhollow.calls.CallerKey
import dev.baobabhollow.calls.IdempotencyKey
import dev.baobabhollow.model.ClaimsRecord
import dev.baobabhollow.model.LogError
import dev.baobabhollow.model.PlatformLog
import dev.baobabhollow.model.WriterId
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.comparables.shouldBeLessThanOrEqualTo
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.types.shouldBeInstanceOf
import java.util.concurrent.CompletableFuture
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit

private const val LIFETIME_MILLIS = 60_000L

internal fun newKey(name: String) =
    IdempotencyKey.parse("${System.currentTimeMillis() + LIFETIME_MILLIS}-$name").get() as CallerKey

internal fun LogClaims.start(
    key: CallerKey,
    deadlineMillis: Long = System.currentTimeMillis() + 10_000,
): CompletableFuture<ClaimResult> = CompletableFuture<ClaimResult>().also { claim(key, deadlineMillis, it::complete) }

internal fun CompletableFuture<ClaimResult>.await(): ClaimResult = get(10, TimeUnit.SECONDS)

/** Claims [key] repeatedly until it is won, for at most 5 s; each attempt waits for its result. */
internal fun LogClaims.claimUntilWon(key: CallerKey): ClaimResult {
    val endNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(5)
    return generateSequence { start(key).await() }.first { it is ClaimResult.Won || System.nanoTime() > endNanos }
}

class LogClaimsSpec :
    DescribeSpec({
        fun node(
            log: PlatformLog,
            name: String,
            settings: ClaimsSettings = ClaimsSettings(maxBackoffMillis = 20),
        ) = LogClaims(log, WriterId(name), settings)

        describe("claims of caller-made keys") {
            it("are won by exactly one of two nodes that claim concurrently") {
                val log = InMemoryLog()
                node(log, "a").use { a ->
                    node(log, "b").use { b ->
                        val keys = (1..300).map { newKey("k$it") }
                        val results =
                            keys.map { listOf(a.start(it), b.start(it)) }.map { pair ->
                                pair.map { it.await() }
                            }
                        results.map { pair -> pair.count { it is ClaimResult.Won } } shouldBe List(300) { 1 }
                        results.map { pair -> pair.count { it is ClaimResult.Lost } } shouldBe List(300) { 1 }
                    }
                }
            }

            it("free the key after a release") {
                node(InMemoryLog(), "a").use { claims ->
                    val key = newKey("k")
                    val won = claims.start(key).await().shouldBeInstanceOf<ClaimResult.Won>()
                    claims.start(key).await() shouldBe ClaimResult.Lost(won.handle.claimant)
                    claims.release(won.handle)
                    claims.start(key).await().shouldBeInstanceOf<ClaimResult.Won>()
                }
            }

            // Guards against a request that runs although its key may be unclaimed or claimed by another call.
            it("are not run when the response to the append is lost, and do not block the key forever") {
                val log = InMemoryLog()
                var losses = 1
                log.onAppend = { stream, records ->
                    if (losses-- > 0) {
                        add(stream, records)
                        LogError.OutcomeUnknown("lost")
                    } else {
                        null
                    }
                }
                node(log, "a").use { claims ->
                    val key = newKey("k")
                    claims.start(key).await().shouldBeInstanceOf<ClaimResult.NotRun>()
                    claims.claimUntilWon(key).shouldBeInstanceOf<ClaimResult.Won>()
                }
            }

            // Guards against an append that takes effect after its release and then blocks the key until its deadline.
            it("do not block the key when a lost append takes effect after its release") {
                val log = InMemoryLog()
                val released = CompletableFuture<Unit>()
                log.onAppend = { stream, records ->
                    val claims = records.flatMap { (it.body as ClaimsRecord).claims }
                    if (claims.any { it.release }) released.complete(Unit)
                    if (released.isDone ||
                        claims.isEmpty()
                    ) {
                        null
                    } else {
                        LogError.OutcomeUnknown("late").also { delay(stream, records) }
                    }
                }
                node(log, "a").use { claims ->
                    val key = newKey("k")
                    claims.start(key).await().shouldBeInstanceOf<ClaimResult.NotRun>()
                    released.get(10, TimeUnit.SECONDS)
                    claims.claimUntilWon(newKey("other"))
                    log.runDelayed()
                    claims.start(key).await().shouldBeInstanceOf<ClaimResult.Won>()
                }
            }

            // Guards against a short retention: the request of a claim that the log has trimmed may have run.
            it("are not run at a node that cannot know earlier claims because they are trimmed") {
                val log = InMemoryLog()
                val key = newKey("k")
                val oneStream = ClaimsSettings(partitions = 1, maxBackoffMillis = 20)
                node(log, "a", oneStream).use { it.start(key).await().shouldBeInstanceOf<ClaimResult.Won>() }
                log.trimAll()
                node(log, "b", oneStream).use { it.start(key).await().shouldBeInstanceOf<ClaimResult.NotRun>() }
            }

            it("are refused immediately while the log is down and work again after that") {
                val log = InMemoryLog()
                log.onAppend = { _, _ -> LogError.Unavailable("down") }
                log.readError = LogError.Unavailable("down")
                node(log, "a").use { claims ->
                    val key = newKey("k")
                    claims.start(key).await().shouldBeInstanceOf<ClaimResult.NotRun>()
                    claims.start(key).isDone shouldBe true
                    log.readError = null
                    log.onAppend = { _, _ -> null }
                    claims.claimUntilWon(key).shouldBeInstanceOf<ClaimResult.Won>()
                }
            }

            it("are refused immediately when the queue is full") {
                val log = InMemoryLog()
                val entered = CountDownLatch(1)
                val gate = CountDownLatch(1)
                log.onAppend = { _, _ ->
                    entered.countDown()
                    gate.await(10, TimeUnit.SECONDS)
                    null
                }
                node(log, "a", ClaimsSettings(queueCapacity = 4, lingerMillis = 0)).use { claims ->
                    claims.start(newKey("first"))
                    entered.await(10, TimeUnit.SECONDS) shouldBe true
                    val results = (1..20).map { claims.start(newKey("k$it")) }
                    val refused = results.filter { it.isDone }.map { it.await() }
                    refused.size shouldBe results.size - 4
                    refused.forEach { it.shouldBeInstanceOf<ClaimResult.NotRun>().reason shouldContain "too many" }
                    gate.countDown()
                    results.map { it.await() }.count { it is ClaimResult.Won } shouldBe 4
                }
            }

            it("share appends") {
                val log = InMemoryLog()
                node(log, "a", ClaimsSettings(lingerMillis = 50)).use { claims ->
                    (1..400).map { claims.start(newKey("k$it")) }.forEach { it.await() }
                    log.appends.get() shouldBeLessThanOrEqualTo 40
                }
            }

            // Guards against an overload that fills the [ClaimTable], after which no claim could be decided.
            it("are refused without a claim in the log when the capacity for keys is nearly exhausted") {
                val settings = ClaimsSettings(partitions = 1, lingerMillis = 50, maxKeysPerPartition = 100)
                node(InMemoryLog(), "a", settings).use { claims ->
                    val results = (1..300).map { claims.start(newKey("k$it")) }.map { it.await() }
                    val wins = results.count { it is ClaimResult.Won }
                    (wins in 90..99) shouldBe true
                    claims.start(newKey("next")).await().shouldBeInstanceOf<ClaimResult.Won>()
                }
            }

            it("wait for the append rate limit, but not past their deadline") {
                val log = InMemoryLog()
                var refusals = 1
                log.onAppend = { _, _ ->
                    if (refusals-- > 0) LogError.RateLimited(System.currentTimeMillis() + 20) else null
                }
                node(log, "a").use { claims ->
                    claims.start(newKey("k")).await().shouldBeInstanceOf<ClaimResult.Won>()
                    log.onAppend = { _, _ -> LogError.RateLimited(System.currentTimeMillis() + 5) }
                    val late = claims.start(newKey("late"), System.currentTimeMillis() + 50)
                    late.await().shouldBeInstanceOf<ClaimResult.NotRun>()
                }
            }

            // Guards against calls that hang forever because the claims thread has ended.
            it("all get a result after a close or an exception in the log") {
                val log = InMemoryLog()
                log.onAppend = { _, _ -> error("fault of the client") }
                val claims = node(log, "a")
                claims.start(newKey("k")).await().shouldBeInstanceOf<ClaimResult.NotRun>()
                log.onAppend = { _, _ -> null }
                claims.claimUntilWon(newKey("k2")).shouldBeInstanceOf<ClaimResult.Won>()
                claims.close()
                claims.start(newKey("k3")).await().shouldBeInstanceOf<ClaimResult.NotRun>()
            }
        }
    })
