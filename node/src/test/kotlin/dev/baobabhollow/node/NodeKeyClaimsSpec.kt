package dev.baobabhollow.node

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Result
import dev.baobabhollow.model.AppendReceipt
import dev.baobabhollow.model.Endpoint
import dev.baobabhollow.model.FailureDomainId
import dev.baobabhollow.model.LogBatch
import dev.baobabhollow.model.LogError
import dev.baobabhollow.model.LogRecord
import dev.baobabhollow.model.NodeId
import dev.baobabhollow.model.NodeRecord
import dev.baobabhollow.model.NodeStatus
import dev.baobabhollow.model.PlatformLog
import dev.baobabhollow.model.StreamName
import dev.baobabhollow.model.WriterId
import dev.baobabhollow.proxy.KeyDecision
import dev.baobabhollow.proxy.StoredResponse
import dev.baobabhollow.proxy.claims.LogClaims
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit

private const val START = 1_000_000L
private const val DEADLINE = START + 300_000

private object LogThatIsDown : PlatformLog {
    override fun append(
        stream: StreamName,
        records: List<LogRecord>,
        deadlineMillis: Long,
    ): Result<AppendReceipt, LogError> = Err(LogError.Unavailable("down"))

    override fun read(
        stream: StreamName,
        afterOffset: Long,
        maxRecords: Int,
        waitUntilMillis: Long,
    ): Result<LogBatch, LogError> = Err(LogError.Unavailable("down"))
}

private fun record(incarnation: Long): NodeRecord {
    val endpoint = Endpoint("127.0.0.1", 1)
    return NodeRecord(
        NodeId("n"),
        FailureDomainId("a"),
        incarnation,
        NodeStatus.ALIVE,
        endpoint,
        endpoint,
        endpoint,
    )
}

private fun NodeKeyClaims.decide(key: String): KeyDecision {
    val decision = CompletableFuture<KeyDecision>()
    claim(key, DEADLINE, START, decision::complete)
    return decision.get(10, TimeUnit.SECONDS)
}

class NodeKeyClaimsSpec :
    DescribeSpec({
        val log = LogClaims(LogThatIsDown, WriterId("w"))
        afterSpec { log.close() }

        fun claims(
            incarnation: Long,
            current: Long = incarnation,
        ) = NodeKeyClaims(record(incarnation), { current }, log, { START })

        describe("issued keys while the platform is down") {
            it("are granted once and then answered from memory, so that a retry is not executed again") {
                val claims = claims(5)
                val key = claims.issue(DEADLINE, START)!!
                claims.decide(key) shouldBe KeyDecision.Granted
                claims.decide(key) shouldBe KeyDecision.Used
                claims.finished(key, StoredResponse(201, emptyList(), "done".encodeToByteArray()))
                claims
                    .decide(key)
                    .shouldBeInstanceOf<KeyDecision.Answered>()
                    .response.status shouldBe 201
            }

            it("can be used again after a call that was certainly not executed") {
                val claims = claims(5)
                val key = claims.issue(DEADLINE, START)!!
                claims.decide(key) shouldBe KeyDecision.Granted
                claims.released(key)
                claims.decide(key) shouldBe KeyDecision.Granted
            }

            it("are rejected by a later process, which cannot know whether they were executed") {
                val key = claims(5).issue(DEADLINE, START)!!
                claims(6).decide(key) shouldBe KeyDecision.Used
            }

            it("stay valid after the same process has raised its incarnation") {
                val key = claims(5).issue(DEADLINE, START)!!
                claims(5, current = 7).decide(key) shouldBe KeyDecision.Granted
            }
        }

        describe("caller-made keys while the platform is down") {
            it("are refused as not run and can be used later") {
                val claims = claims(5)
                repeat(2) { claims.decide("$DEADLINE-order") shouldBe KeyDecision.Unavailable }
            }

            it("are rejected if they are malformed") {
                claims(5).decide("order") shouldBe KeyDecision.Expired
            }
        }
    })
