package dev.baobabhollow.platformlog

import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import dev.baobabhollow.model.Endpoint
import dev.baobabhollow.model.LogBatch
import dev.baobabhollow.model.LogError
import dev.baobabhollow.model.NO_OFFSET
import dev.baobabhollow.model.StreamName
import dev.baobabhollow.standins.StandInLog
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.types.shouldBeInstanceOf
import java.net.ServerSocket
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit

private val STREAM = StreamName("configuration")

class HttpPlatformLogSpec :
    DescribeSpec({
        fun withLog(test: (StandInLog, HttpPlatformLog) -> Unit) =
            StandInLog().use { server -> HttpPlatformLog(server.endpoint).use { test(server, it) } }

        fun soon() = System.currentTimeMillis() + 5_000

        fun HttpPlatformLog.readAll(): LogBatch = read(STREAM, NO_OFFSET, 100, 0).get().shouldNotBeNull()

        describe("an append") {
            it("returns ascending offsets and can be read back") {
                withLog { _, log ->
                    log.append(STREAM, listOf(record(1), record(2)), soon()).get()?.offsets shouldBe listOf(0L, 1L)
                    log.append(STREAM, listOf(record(3)), soon()).get()?.offsets shouldBe listOf(2L)
                    log.readAll().entries.map { it.record } shouldBe listOf(record(1), record(2), record(3))
                    log
                        .read(STREAM, 1, 100, 0)
                        .get()
                        ?.entries
                        ?.map { it.offset } shouldBe listOf(2L)
                }
            }

            // Guards against an error that says "nothing happened" although the records are in the log.
            it("has an unknown outcome when the response is lost after the append") {
                withLog { server, log ->
                    server.post("/faults", """{"loseAnswers":1}""")
                    log
                        .append(
                            STREAM,
                            listOf(record(1)),
                            soon(),
                        ).getError()
                        .shouldBeInstanceOf<LogError.OutcomeUnknown>()
                    log.readAll().entries shouldHaveSize 1
                }
            }

            it("has an unknown outcome when the request is lost before the append") {
                withLog { server, log ->
                    server.post("/faults", """{"loseRequests":1}""")
                    log
                        .append(
                            STREAM,
                            listOf(record(1)),
                            soon(),
                        ).getError()
                        .shouldBeInstanceOf<LogError.OutcomeUnknown>()
                    log.readAll().entries shouldHaveSize 0
                }
            }

            it("has an unknown outcome when the response is truncated") {
                withLog { server, log ->
                    server.post("/faults", """{"cutAnswers":1}""")
                    log
                        .append(
                            STREAM,
                            listOf(record(1)),
                            soon(),
                        ).getError()
                        .shouldBeInstanceOf<LogError.OutcomeUnknown>()
                }
            }

            // Guards against late responses that reach the next caller of a reused connection.
            it("gives up at its deadline, and its late response reaches no other call") {
                withLog { server, log ->
                    server.post("/faults", """{"slowMillis":400}""")
                    val deadline = System.currentTimeMillis() + 100
                    log
                        .append(
                            STREAM,
                            listOf(record(1)),
                            deadline,
                        ).getError()
                        .shouldBeInstanceOf<LogError.OutcomeUnknown>()
                    server.post("/faults", """{"slowMillis":600}""")
                    log.append(STREAM, listOf(record(2)), soon()).get()?.offsets shouldBe listOf(1L)
                }
            }

            it("is unavailable in an outage, after its deadline and without a listener") {
                withLog { server, log ->
                    server.post("/faults", """{"outage":true}""")
                    log.append(STREAM, listOf(record(1)), soon()).getError().shouldBeInstanceOf<LogError.Unavailable>()
                    log.append(STREAM, listOf(record(1)), 0).getError().shouldBeInstanceOf<LogError.Unavailable>()
                }
                val freePort = ServerSocket(0).use { it.localPort }
                HttpPlatformLog(Endpoint("127.0.0.1", freePort)).use {
                    it.append(STREAM, listOf(record(1)), soon()).getError().shouldBeInstanceOf<LogError.Unavailable>()
                }
            }

            it("reports until when it is rate limited") {
                withLog { server, log ->
                    server.post("/faults", """{"appendsPerSecond":1}""")
                    log.append(STREAM, listOf(record(1)), soon()).isOk shouldBe true
                    val before = System.currentTimeMillis()
                    val error = log.append(STREAM, listOf(record(2)), soon()).getError()
                    (error.shouldBeInstanceOf<LogError.RateLimited>().retryAtMillis > before) shouldBe true
                }
            }
        }

        describe("a read") {
            it("waits for the next append") {
                withLog { _, log ->
                    val reading = CompletableFuture.supplyAsync { log.read(STREAM, NO_OFFSET, 10, soon()) }
                    log.append(STREAM, listOf(record(1)), soon())
                    reading
                        .get(4, TimeUnit.SECONDS)
                        .get()
                        ?.entries
                        ?.map { it.record } shouldBe listOf(record(1))
                }
            }

            it("returns nothing at the end of its wait") {
                withLog { _, log ->
                    log.read(STREAM, 7, 10, System.currentTimeMillis() + 20).get()?.entries shouldBe
                        emptyList()
                }
            }

            // Guards against a reader that continues over a gap in the records.
            it("reports trimmed records, whether trimmed by request or by a short retention") {
                withLog { server, log ->
                    log.append(STREAM, listOf(record(1), record(2), record(3)), soon())
                    server.post("/trim", """{"stream":"configuration","beforeOffset":2}""")
                    log.read(STREAM, 0, 10, 0).getError() shouldBe LogError.Trimmed(2)
                    log
                        .read(STREAM, 1, 10, 0)
                        .get()
                        ?.entries
                        ?.map { it.offset } shouldBe listOf(2L)
                    server.post("/faults", """{"retentionMillis":-1000}""")
                    log.read(STREAM, 1, 10, 0).getError() shouldBe LogError.Trimmed(3)
                }
            }

            it("reports a response that is not JSON as malformed") {
                withLog { server, log ->
                    server.post("/faults", """{"corruptAnswers":1}""")
                    log.read(STREAM, NO_OFFSET, 10, 0).getError().shouldBeInstanceOf<LogError.Malformed>()
                }
            }

            // Guards against a response that exhausts the memory of the node.
            it("rejects a response above its size limit and reports the limit") {
                withLog { server, log ->
                    log.append(STREAM, (1L..50L).map(::record), soon())
                    HttpPlatformLog(server.endpoint, LogClientLimits(maxResponseBytes = 1_000)).use { small ->
                        val error = small.read(STREAM, NO_OFFSET, 100, 0).getError()
                        error.shouldBeInstanceOf<LogError.Malformed>().reason shouldContain "1000 bytes"
                    }
                }
            }
        }

        describe("a connection") {
            val batch = """{"entries":[],"earliestOffset":0,"nextOffset":5,"retentionMillis":1}"""
            val okResponse = "HTTP/1.1 200 OK\r\ncontent-length: ${batch.length}\r\n\r\n$batch"

            fun readFrom(vararg responses: String) =
                ScriptedServer(*responses).use { server ->
                    HttpPlatformLog(server.endpoint).use { log -> responses.map { log.read(STREAM, 4, 10, 0) } }
                }

            it("is reused for the next exchange") {
                readFrom(okResponse, okResponse).map { it.get()?.nextOffset } shouldBe listOf(5L, 5L)
            }

            // Guards against a truncated body that seems complete because it ends with the connection.
            it("rejects a response without a stated length") {
                val results = readFrom("HTTP/1.1 200 OK\r\n\r\n$batch")
                results.single().getError().shouldBeInstanceOf<LogError.Malformed>()
            }

            it("is closed after bytes that belong to no response") {
                val stray = okResponse.replace("\"nextOffset\":5", "\"nextOffset\":9")
                readFrom(okResponse + stray, okResponse).map { it.get()?.nextOffset } shouldBe listOf(5L, 5L)
            }

            it("fails an exchange whose response is not HTTP") {
                readFrom("SSH-2.0\r\n\r\n").single().getError().shouldBeInstanceOf<LogError.Malformed>()
            }
        }
    })
