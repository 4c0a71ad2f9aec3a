package dev.baobabhollow.calls

import dev.baobabhollow.model.LogEntry
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.shouldBe

private const val DEADLINE_MILLIS = 1_000_000L
private const val KEY = "$DEADLINE_MILLIS-order"
private const val START_MILLIS = DEADLINE_MILLIS - MAX_CLAIM_LIFETIME_MILLIS

/** What happens to the append of a claim, and what the claimant does when it wins. */
private enum class Scenario { RUNS, SHEDS_AND_RELEASES, ANSWER_LOST, EFFECT_AFTER_RELEASE, REQUEST_LOST }

private enum class Step { CLAIM, READ, RELEASE, LATE_EFFECT }

/** Explores every order of the steps of some claimants, of a trim of the log and of the passing of the deadline. */
private class Explorer(
    private val fates: List<Scenario>,
    private val withExpiry: Boolean,
    private val withTrim: Boolean,
) {
    var histories = 0
    var maxRuns = 0
    var blockedHistories = 0
    var runHistogram = HashMap<Int, Int>()

    private val log = ArrayList<LogEntry>()
    private val runs = ArrayList<Int>()
    private var expired = false
    private var trimmedBelow = 0

    fun explore() = explore(fates.map(::stepsOf), if (withExpiry) 1 else 0, if (withTrim) 1 else 0)

    private fun stepsOf(fate: Scenario): List<Step> =
        when (fate) {
            Scenario.RUNS, Scenario.SHEDS_AND_RELEASES -> listOf(Step.CLAIM, Step.READ)
            Scenario.ANSWER_LOST -> listOf(Step.CLAIM, Step.RELEASE)
            Scenario.EFFECT_AFTER_RELEASE -> listOf(Step.RELEASE, Step.LATE_EFFECT)
            Scenario.REQUEST_LOST -> listOf(Step.RELEASE)
        }

    private fun explore(
        left: List<List<Step>>,
        expiries: Int,
        trims: Int,
    ) {
        if (left.all { it.isEmpty() }) return finish()
        left.indices.filter { left[it].isNotEmpty() }.forEach { claimant ->
            val undo = perform(claimant, left[claimant].first())
            val rest = left.toMutableList().also { it[claimant] = it[claimant].drop(1) }
            explore(rest, expiries, trims)
            undo()
        }
        if (expiries > 0) {
            expired = true
            explore(left, 0, trims)
            expired = false
        }
        if (trims > 0 && log.isNotEmpty()) {
            val before = trimmedBelow
            trimmedBelow = log.size
            explore(left, expiries, 0)
            trimmedBelow = before
        }
    }

    private fun perform(
        claimant: Int,
        step: Step,
    ): () -> Unit =
        when (step) {
            Step.CLAIM, Step.LATE_EFFECT -> append(claimant, release = false)
            Step.RELEASE -> append(claimant, release = true)
            Step.READ -> read(claimant)
        }

    private fun append(
        claimant: Int,
        release: Boolean,
    ): () -> Unit {
        val time = if (expired) DEADLINE_MILLIS + log.size else START_MILLIS + 1 + log.size
        log.add(claimEntry(log.size.toLong(), "c$claimant", release, KEY, time))
        return { log.removeLast() }
    }

    private fun read(claimant: Int): () -> Unit {
        val answer = tableOfNewReader().answer(KEY, "c$claimant")
        if (answer != ClaimStatus.Won) return {}
        if (fates[claimant] == Scenario.SHEDS_AND_RELEASES) return append(claimant, release = true)
        runs.add(claimant)
        return { runs.removeLast() }
    }

    private fun tableOfNewReader(): ClaimTable {
        val book = ClaimTable(0, 1)
        if (trimmedBelow > 0) book.skipTo(trimmedBelow.toLong())
        log.drop(trimmedBelow).forEach(book::add)
        return book
    }

    private fun finish() {
        histories++
        maxRuns = maxOf(maxRuns, runs.size)
        runHistogram.merge(runs.size, 1, Int::plus)
        if (runs.isNotEmpty() || expired || trimmedBelow > 0) return
        val undo = append(claimant = fates.size, release = false)
        if (tableOfNewReader().answer(KEY, "c${fates.size}") != ClaimStatus.Won) blockedHistories++
        undo()
    }
}

class ClaimTableInterleavingsSpec :
    DescribeSpec({
        fun combinations(size: Int): List<List<Scenario>> =
            (1..size).fold(listOf(emptyList())) { lists, _ ->
                lists.flatMap { list ->
                    Scenario.entries.map { list + it }
                }
            }

        describe("three claimants of one key, in every order of their steps") {
            // Guards against two runs of a request: two claimants at once, late effects, expiry and a short retention.
            it("run the request at most once, also with expiry and a trimmed log") {
                var histories = 0
                combinations(3).forEach { fates ->
                    val explorer = Explorer(fates, withExpiry = true, withTrim = true)
                    explorer.explore()
                    histories += explorer.histories
                    (fates to explorer.maxRuns.coerceAtMost(1)) shouldBe (fates to explorer.maxRuns)
                }
                histories shouldBeGreaterThan 10_000
            }

            it("leave the key to the next claimant when nobody ran the request") {
                combinations(3).forEach { fates ->
                    val explorer = Explorer(fates, withExpiry = false, withTrim = false)
                    explorer.explore()
                    (fates to explorer.blockedHistories) shouldBe (fates to 0)
                }
            }

            it("run it exactly once when all claims are confirmed") {
                val explorer = Explorer(List(3) { Scenario.RUNS }, withExpiry = false, withTrim = false)
                explorer.explore()
                explorer.runHistogram.keys shouldBe setOf(1)
            }
        }
    })
