package dev.baobabhollow.platformlog

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import dev.baobabhollow.model.AppendReceipt
import dev.baobabhollow.model.LogBatch
import dev.baobabhollow.model.LogError
import dev.baobabhollow.model.LogRecord
import dev.baobabhollow.model.NO_OFFSET
import dev.baobabhollow.model.PlatformLog
import dev.baobabhollow.model.StreamName
import dev.baobabhollow.standins.StandInLog
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.comparables.shouldBeLessThanOrEqualTo
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import kotlin.random.Random

private val STREAM = StreamName("configuration")
private val RECEIPT = AppendReceipt(listOf(7), 1)

/** Returns one of [failures] for each call, and the last one for all further calls. Null is a success. */
private class ScriptedLog(
    private vararg val failures: LogError?,
) : PlatformLog {
    val appended = mutableListOf<List<LogRecord>>()

    override fun append(
        stream: StreamName,
        records: List<LogRecord>,
        deadlineMillis: Long,
    ): Result<AppendReceipt, LogError> {
        appended += records
        return failures[minOf(appended.size, failures.size) - 1]?.let { Err(it) } ?: Ok(RECEIPT)
    }

    override fun read(
        stream: StreamName,
        afterOffset: Long,
        maxRecords: Int,
        waitUntilMillis: Long,
    ): Result<LogBatch, LogError> = error("not used")
}

class RetryingAppenderSpec :
    DescribeSpec({
        val unknown = LogError.OutcomeUnknown("lost")
        val unavailable = LogError.Unavailable("down")

        class Fixture(
            vararg failures: LogError?,
        ) {
            var clock = 0L
            val pauses = mutableListOf<Long>()
            val log = ScriptedLog(*failures)
            val appender =
                RetryingAppender(
                    log,
                    retryLimitMillis = 10_000,
                    delays = RetryDelays(firstMillis = 100, maxMillis = 1_000),
                    nowMillis = { clock },
                    elapsedMillis = { clock },
                    pause = {
                        pauses += it
                        clock += it
                    },
                    random = Random(7),
                )

            fun append(deadlineMillis: Long = 60_000) = appender.append(STREAM, listOf(record(1)), deadlineMillis)
        }

        describe("a retrying appender") {
            it("retries the same records until the log confirms them") {
                val fixture = Fixture(unknown, unavailable, null)
                fixture.append().get() shouldBe RECEIPT
                fixture.log.appended shouldBe List(3) { listOf(record(1)) }
            }

            // Guards against a caller that concludes from a final Unavailable that nothing was appended.
            it("keeps an unknown outcome when later attempts fail without effect") {
                Fixture(unknown, unavailable).append().getError().shouldBeInstanceOf<LogError.OutcomeUnknown>()
                Fixture(unavailable).append().getError().shouldBeInstanceOf<LogError.Unavailable>()
            }

            it("stops at the deadline and at the retry limit") {
                val early = Fixture(unavailable)
                early.append(deadlineMillis = 2_000)
                early.clock shouldBeLessThanOrEqualTo 2_000L
                val limited = Fixture(unavailable)
                limited.append()
                limited.clock shouldBeLessThanOrEqualTo 10_000L
            }

            it("backs off with a bounded and growing random delay") {
                val fixture = Fixture(unavailable)
                fixture.append()
                fixture.pauses.forEachIndexed { attempt, pause ->
                    pause shouldBeLessThanOrEqualTo minOf(1_000L, 100L shl minOf(attempt, 10))
                }
                (fixture.pauses.max() > 500) shouldBe true
            }

            it("waits until the rate limit allows an append") {
                val fixture = Fixture(LogError.RateLimited(3_000), null)
                fixture.append().get() shouldBe RECEIPT
                (fixture.clock >= 3_000) shouldBe true
            }

            it("does not retry an append whose response is malformed") {
                val fixture = Fixture(LogError.Malformed("html"))
                fixture.append().isErr shouldBe true
                fixture.log.appended shouldHaveSize 1
            }

            // Guards against a retry under a new sequence, which the fold would apply a second time.
            it("appends duplicates that readers can drop when responses are lost") {
                StandInLog().use { server ->
                    HttpPlatformLog(server.endpoint).use { log ->
                        server.post("/faults", """{"loseAnswers":2}""")
                        val appender = RetryingAppender(log, 10_000, RetryDelays(firstMillis = 1))
                        appender.append(STREAM, listOf(record(1)), System.currentTimeMillis() + 5_000).isOk shouldBe
                            true
                        val entries =
                            log
                                .read(STREAM, NO_OFFSET, 10, 0)
                                .get()
                                ?.entries
                                .orEmpty()
                        entries.map { it.record } shouldBe List(3) { record(1) }
                    }
                }
            }
        }
    })
