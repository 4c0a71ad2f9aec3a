package dev.baobabhollow.calls

import dev.baobabhollow.membership.FleetView
import dev.baobabhollow.model.NodeId
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.doubles.shouldBeLessThan
import kotlin.math.ln
import kotlin.math.pow
import kotlin.random.Random

private const val TENANTS = 2_000
private const val DOMAINS = 13
private const val NODES_PER_DOMAIN = 154
private const val RUN_MILLIS = 20_000L

/** A node sends a question of 9 bytes for its own callers, and on average an answer of 4 bytes to each one it gets. */
private const val SENT_BYTES = 13

/** Guards the control traffic at the planned size, of which a node may send 3 KB/s in all. */
class QuotaTrafficSpec :
    DescribeSpec({
        fun questionsPerSecond(requestsPerSecond: Double): Double {
            val random = Random(1)
            val nodes =
                List(DOMAINS * NODES_PER_DOMAIN) { node("n$it", "d${it % DOMAINS}") }.associateBy { it.node }
            val self = nodes.values.first()
            val tracker = QuotaFleetTracker(QuotaSettings(), self.node, self.failureDomain, 0)
            val open = ArrayDeque<QuotaQuestion>()
            var questions = 0
            val stock = QuotaStock(QuotaSettings(), 0, open::addLast)
            stock.updateFleet(tracker.update(FleetView(NodeId("n0"), nodes, 1), 0))
            val weights = (1..TENANTS).map { it.toDouble().pow(-1.2) }.runningReduce(Double::plus)
            var nowMillis = 0.0
            while (nowMillis < RUN_MILLIS) {
                nowMillis += -ln(1 - random.nextDouble()) / requestsPerSecond * 1_000
                val found = weights.binarySearch(random.nextDouble(weights.last()))
                val tenant = if (found < 0) -found - 1 else found
                stock.take(QuotaKey.of("t$tenant"), nowMillis.toLong(), {}, {})
                while (open.isNotEmpty()) {
                    val question = open.removeFirst()
                    questions++
                    stock.answer(question.id, question.to, QuotaAnswer(question.wanted), nowMillis.toLong())
                }
            }
            return questions * 1_000.0 / RUN_MILLIS
        }

        describe("a node of 2,000 with 2,000 tenants, each of which has a limit") {
            // All 590,000 calls/s of the planned size, as if none of them were made by targets.
            it("sends less than 3 KB/s about quotas at 295 requests a second") {
                val questions = questionsPerSecond(295.0)
                println("295 requests/s: $questions questions/s, ${questions * SENT_BYTES} bytes/s sent")
                questions * SENT_BYTES shouldBeLessThan 3_000.0
            }

            // Calls are up to 20 deep, and only the first of a chain is made by a caller with a key.
            it("sends less than 300 bytes/s at a twentieth of that") {
                val questions = questionsPerSecond(295.0 / 20)
                println("15 requests/s: $questions questions/s, ${questions * SENT_BYTES} bytes/s sent")
                questions * SENT_BYTES shouldBeLessThan 300.0
            }
        }
    })
