package dev.baobabhollow.calls

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import kotlin.random.Random

class OutlierDetectorSpec :
    DescribeSpec({
        val settings = OutlierSettings()
        val peers = List(4) { target("t$it") }
        val first = peers[0]

        fun OutlierDetector.record(
            health: CallHealth,
            nowMillis: Long,
            target: TargetEndpoint = first,
        ) = record(target, health, peers, nowMillis)

        describe("ejection") {
            it("follows one failed connection, and other failures after a number of them in a row") {
                val detector = OutlierDetector(settings)
                repeat(settings.consecutiveFailures - 1) { detector.record(CallHealth.FAILURE, 0) }
                detector.isUsable(first.node, 0) shouldBe true
                detector.record(CallHealth.FAILURE, 0)
                detector.isUsable(first.node, 0) shouldBe false
                detector.record(CallHealth.NO_CONNECTION, 0, peers[1])
                detector.isUsable(peers[1].node, 0) shouldBe false
            }

            it("follows a high rate of failures between successes") {
                val detector = OutlierDetector(settings)
                repeat(settings.windowMinCalls) {
                    detector.record(CallHealth.FAILURE, 0)
                    detector.record(CallHealth.SUCCESS, 0)
                }
                detector.isUsable(first.node, 0) shouldBe false
            }

            it("does not follow calls refused under load") {
                val detector = OutlierDetector(settings)
                repeat(100) { detector.record(CallHealth.NEUTRAL, 0) }
                detector.isUsable(first.node, 0) shouldBe true
            }

            it("lets exactly one probe call through once its time is over") {
                val detector = OutlierDetector(settings)
                detector.record(CallHealth.NO_CONNECTION, 0)
                val due = settings.baseEjectionMillis
                detector.isUsable(first.node, due - 1) shouldBe false
                detector.isUsable(first.node, due) shouldBe true
                detector.claimProbe(first.node, due)
                detector.isUsable(first.node, due) shouldBe false
                detector.record(CallHealth.SUCCESS, due + 1)
                detector.isUsable(first.node, due + 1) shouldBe true
            }

            // Guards against a probe whose result never arrives, which would leave the target ejected for good.
            it("lets another probe call through when the first has no result") {
                val detector = OutlierDetector(settings)
                detector.record(CallHealth.NO_CONNECTION, 0)
                detector.claimProbe(first.node, settings.baseEjectionMillis)
                detector.isUsable(first.node, settings.baseEjectionMillis + settings.probeMillis) shouldBe true
            }

            it("lasts longer after each failed probe, up to a limit") {
                val detector = OutlierDetector(settings)
                detector.record(CallHealth.NO_CONNECTION, 0)
                var now = 0L
                val lengths =
                    List(12) {
                        val start = now
                        while (!detector.isUsable(first.node, now)) now += 100
                        detector.claimProbe(first.node, now)
                        detector.record(CallHealth.FAILURE, now)
                        now - start
                    }
                lengths.take(4) shouldBe listOf(2_000L, 4_000L, 8_000L, 16_000L)
                lengths.max() shouldBe settings.maxEjectionMillis
            }

            it("never ejects more than half of the targets of a service") {
                (1..7).forEach { size ->
                    val service = List(size) { target("t$it") }
                    val detector = OutlierDetector(settings)
                    val random = Random(size)
                    var now = 0L
                    repeat(500) {
                        now += random.nextLong(1_000)
                        val chosen = service[random.nextInt(size)]
                        detector.claimProbe(chosen.node, now)
                        detector.record(chosen, CallHealth.entries[random.nextInt(4)], service, now)
                        detector.ejected(service) * 2 shouldBeLessThanOrEqual size
                    }
                }
            }
        }

        describe("a retry budget") {
            it("allows retries for a tenth of the calls and a small minimum") {
                val budget = RetryBudget(RetryBudgetSettings())
                var retries = 0
                repeat(10_000) {
                    budget.onCall()
                    if (budget.tryRetry(it / 10L)) retries++
                }
                retries shouldBeLessThanOrEqual 1_000 + 2 * 2
                (retries >= 1_000) shouldBe true
            }

            it("does not save up more than its limit") {
                val budget = RetryBudget(RetryBudgetSettings(maxSavedRetries = 5, minimumPerSecond = 0))
                repeat(10_000) { budget.onCall() }
                (1..100).count { budget.tryRetry(0) } shouldBe 5
            }
        }
    })
