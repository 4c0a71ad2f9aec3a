package dev.baobabhollow.proxy.claims

import dev.baobabhollow.calls.CallerKey
import dev.baobabhollow.model.WriterId
import dev.baobabhollow.platformlog.HttpPlatformLog
import dev.baobabhollow.standins.LogFaults
import dev.baobabhollow.standins.StandInLog
import dev.baobabhollow.standins.StandInLogOptions
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit

private fun LogClaims.claimUntilDecided(key: CallerKey): ClaimResult {
    val endNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(5)
    return generateSequence { start(key).await() }.first { it !is ClaimResult.NotRun || System.nanoTime() > endNanos }
}

class LogClaimsHttpSpec :
    DescribeSpec({
        // Guards against two runs of one request when appends or their responses are lost.
        describe("two nodes that claim the same keys over a log that loses requests and responses") {
            val faults = LogFaults(loseAnswersPermille = 150, loseRequestsPermille = 150, appendsPerSecond = 2_000)
            val settings = ClaimsSettings(maxBatch = 8, lingerMillis = 0, maxBackoffMillis = 5)

            it("win each key exactly once when both retry until it is decided") {
                StandInLog(StandInLogOptions(faults = faults)).use { server ->
                    val logs = List(2) { HttpPlatformLog(server.endpoint) }
                    val nodes = logs.mapIndexed { index, log -> LogClaims(log, WriterId("n$index"), settings) }
                    val wins =
                        (1..60).map { newKey("k$it") }.map { key ->
                            val attempts = nodes.map { CompletableFuture.supplyAsync { it.claimUntilDecided(key) } }
                            attempts.count { it.await() is ClaimResult.Won }
                        }
                    wins shouldBe List(60) { 1 }
                    nodes.forEach { it.close() }
                    logs.forEach { it.close() }
                }
            }
        }
    })
