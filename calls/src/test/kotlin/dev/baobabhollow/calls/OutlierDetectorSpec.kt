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
            it("follows a failed connection at once and other failures after some") {
                val outliers = OutlierDetector(settings)
                repeat(settings.consecutiveFailures - 1) { outliers.record(CallHealth.FAILURE, 0) }
                outliers.isUsable(first.node, 0) shouldBe true
                outliers.record(CallHealth.FAILURE, 0)
                outliers.isUsable(first.node, 0) shouldBe false
                outliers.record(CallHealth.NO_CONNECTION, 0, peers[1])
                outliers.isUsable(peers[1].node, 0) shouldBe false
            }

            it("follows a high rate of failures between successes") {
                val outliers = OutlierDetector(settings)
                repeat(settings.windowMinCalls) {
                    outliers.record(CallHealth.FAILURE, 0)
                    outliers.record(CallHealth.SUCCESS, 0)
                }
                outliers.isUsable(first.node, 0) shouldBe false
            }

            it("does not follow calls refused under load") {
                val outliers = OutlierDetector(settings)
                repeat(100) { outliers.record(CallHealth.NEUTRAL, 0) }
                outliers.isUsable(first.node, 0) shouldBe true
            }

            it("lets one probe call through after its deadline, and no other") {
                val outliers = OutlierDetector(settings)
                outliers.record(CallHealth.NO_CONNECTION, 0)
                val due = settings.baseEjectionMillis
                outliers.isUsable(first.node, due - 1) shouldBe false
                outliers.isUsable(first.node, due) shouldBe true
                outliers.claimProbe(first.node, due)
                outliers.isUsable(first.node, due) shouldBe false
                outliers.record(CallHealth.SUCCESS, due + 1)
                outliers.isUsable(first.node, due + 1) shouldBe true
            }

            // Guards against a probe whose result never arrives, which would keep the target out for good.
            it("lets another probe call through when the first has no result") {
                val outliers = OutlierDetector(settings)
                outliers.record(CallHealth.NO_CONNECTION, 0)
                outliers.claimProbe(first.node, settings.baseEjectionMillis)
                outliers.isUsable(first.node, settings.baseEjectionMillis + settings.probeMillis) shouldBe true
            }

            it("lasts longer after each failed probe, up to a limit") {
                val outliers = OutlierDetector(settings)
                outliers.record(CallHealth.NO_CONNECTION, 0)
                var now = 0L
                val lengths =
                    List(12) {
                        val start = now
                        while (!outliers.isUsable(first.node, now)) now += 100
                        outliers.claimProbe(first.node, now)
                        outliers.record(CallHealth.FAILURE, now)
                        now - start
                    }
                lengths.take(4) shouldBe listOf(2_000L, 4_000L, 8_000L, 16_000L)
                lengths.max() shouldBe settings.maxEjectionMillis
            }

            it("never takes more than half of a service, whatever fails") {
                (1..7).forEach { size ->
                    val service = List(size) { target("t$it") }
                    val outliers = OutlierDetector(settings)
                    val random = Random(size)
                    var now = 0L
                    repeat(500) {
                        now += random.nextLong(1_000)
                        val chosen = service[random.nextInt(size)]
                        outliers.claimProbe(chosen.node, now)
                        outliers.record(chosen, CallHealth.entries[random.nextInt(4)], service, now)
                        outliers.ejected(service) * 2 shouldBeLessThanOrEqual size
                    }
                }
            }
        }

        describe("a retry budget") {
            it("allows a tenth of the calls and a small minimum") {
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
