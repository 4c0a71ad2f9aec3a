package dev.baobabhollow.calls

import dev.baobabhollow.membership.FleetView
import dev.baobabhollow.model.NodeId
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.nulls.shouldBeNull
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf

/** Guards the decisions of an entry node: which allocator it asks, when a request waits, and what becomes of a token. */
class QuotaStockSpec :
    DescribeSpec({
        describe("a request without a token") {
            it("asks the allocator of its own failure domain and waits for the answer") {
                val entry = Entry()
                entry.take(0).shouldBeNull()
                entry.questions.map { it.to } shouldContainExactly listOf(NodeId("own"))
                entry.answer(QuotaAnswer(1), 2)
                entry.decisions.single().shouldBeInstanceOf<QuotaDecision.Granted>()
            }

            it("asks other failure domains when the own one has no tokens") {
                val entry = Entry()
                entry.take(0)
                entry.answer(QuotaAnswer(0, retryMillis = 50), 1)
                entry.questions.last().to shouldBe NodeId("other")
                entry.answer(QuotaAnswer(1), 4)
                entry.decisions.single().shouldBeInstanceOf<QuotaDecision.Granted>()
            }

            // A caller that waits for Retry-After must then find a token.
            it("is denied until the first domain expects a token, and further requests without a question") {
                val entry = Entry()
                entry.take(0)
                entry.answer(QuotaAnswer(0, retryMillis = 80), 1)
                entry.answer(QuotaAnswer(0, retryMillis = 300), 4)
                entry.decisions.single() shouldBe QuotaDecision.Denied(77)
                val asked = entry.questions.size
                entry.take(10) shouldBe QuotaDecision.Denied(71)
                entry.questions shouldHaveSize asked
                entry.take(81).shouldBeNull()
            }

            it("repeats a question once after 30 ms and skips an allocator that is silent for 100 ms") {
                val entry = Entry()
                entry.take(0)
                entry.stock.advance(20)
                entry.questions shouldHaveSize 1
                entry.stock.advance(40)
                entry.stock.advance(60)
                entry.questions.map { it.to } shouldContainExactly listOf(NodeId("own"), NodeId("own"))
                entry.stock.advance(100)
                entry.questions.last().to shouldBe NodeId("other")
                entry.answer(QuotaAnswer(1), 103)
                entry.decisions shouldHaveSize 1
            }

            // Without an answer nobody knows that the tenant is over its quota, so 429 would be wrong.
            it("is refused as unavailable if no allocator answers") {
                val entry = Entry()
                entry.take(0)
                entry.stock.advance(100)
                entry.stock.advance(200)
                entry.decisions.single().shouldBeInstanceOf<QuotaDecision.Unavailable>()
                entry.stock.isAsking shouldBe false
            }

            // A token for a caller that has left would be lost.
            it("takes no token once its wait was cancelled") {
                val entry = Entry()
                entry.take(0)
                entry.waiters.single().cancel()
                entry.answer(QuotaAnswer(1), 1)
                entry.decisions.shouldBeEmpty()
                entry.take(2).shouldBeInstanceOf<QuotaDecision.Granted>()
            }
        }

        describe("a token") {
            // Mutation: a token that is not returned is a request of the tenant's quota that nobody could send.
            it("serves another request after its request was refused") {
                val entry = Entry()
                entry.take(0)
                entry.answer(QuotaAnswer(1), 1)
                entry.stock.giveBack(entry.granted(), 10)
                entry.take(11).shouldBeInstanceOf<QuotaDecision.Granted>()
                entry.questions shouldHaveSize 1
            }

            it("that was returned serves a request that waits") {
                val entry = Entry()
                entry.take(0)
                entry.answer(QuotaAnswer(1), 1)
                entry.take(2).shouldBeNull()
                entry.stock.giveBack(entry.granted(), 3)
                entry.decisions shouldHaveSize 2
            }

            // Tokens without expiry would add up at idle nodes and be used all at once.
            it("expires a fixed time after it was asked for, also if it was returned") {
                val entry = Entry()
                entry.take(0)
                entry.answer(QuotaAnswer(1), 90)
                val token = entry.granted()
                token.expiresMillis shouldBe QuotaSettings().tokenLifeMillis
                entry.stock.giveBack(token, 240)
                entry.take(250).shouldBeNull()
            }

            it("that arrives after its expiry is not used") {
                val entry = Entry()
                entry.take(0)
                entry.answer(QuotaAnswer(1), 260)
                entry.decisions.shouldBeEmpty()
            }

            it("is not taken from an answer of another node or from a repeated answer") {
                val entry = Entry()
                entry.take(0)
                entry.stock.answer(entry.questions.last().id, NodeId("other"), QuotaAnswer(1), 1)
                entry.decisions.shouldBeEmpty()
                entry.answer(QuotaAnswer(1), 1)
                entry.answer(QuotaAnswer(1), 2)
                entry.take(3).shouldBeNull()
            }
        }

        describe("a busy tenant") {
            // One question for each request would cost too much control traffic and a round trip for each call.
            it("gets tokens for several requests with one question") {
                val entry = Entry()
                repeat(100) { i ->
                    val asked = entry.questions.size
                    entry.take(i * 10L)
                    if (entry.questions.size > asked) entry.answer(QuotaAnswer(entry.questions.last().wanted), i * 10L)
                }
                (entry.questions.size < 40) shouldBe true
            }
        }
    }) {
    private class Entry {
        val questions = mutableListOf<QuotaQuestion>()
        val decisions = mutableListOf<QuotaDecision>()
        val waiters = mutableListOf<QuotaWaiter>()
        val stock = QuotaStock(QuotaSettings(), 65_535) { questions.add(it) }
        private val key = QuotaKey.of("alfa")

        init {
            val nodes = listOf(node("own", "a"), node("other", "b"))
            val tracker = QuotaFleetTracker(QuotaSettings(), NodeId("self"), nodes.first().failureDomain, 0)
            stock.updateFleet(tracker.update(FleetView(NodeId("self"), nodes.associateBy { it.node }, 1), 0))
        }

        fun take(nowMillis: Long) = stock.take(key, nowMillis, waiters::add, decisions::add)

        fun answer(
            answer: QuotaAnswer,
            nowMillis: Long,
        ) = stock.answer(questions.last().id, questions.last().to, answer, nowMillis)

        fun granted() = decisions.filterIsInstance<QuotaDecision.Granted>().last().token
    }
}
