package dev.baobabhollow.calls

import dev.baobabhollow.model.LogEntry
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.shouldBe

private const val DEADLINE_MILLIS = 1_000_000L
private const val KEY = "$DEADLINE_MILLIS-order"
private const val START_MILLIS = DEADLINE_MILLIS - MAX_CLAIM_LIFETIME_MILLIS

/** Outcome of the append of a claim, and what the claimant does if it wins. */
private enum class Scenario { RUNS, REFUSED_AND_RELEASES, RESPONSE_LOST, APPEND_AFTER_RELEASE, REQUEST_LOST }

private enum class Step { CLAIM, READ, RELEASE, DELAYED_APPEND }

/** Explores every order of the claimants' steps, with an optional trim of the log and an optional expiry of the key. */
private class Explorer(
    private val scenarios: List<Scenario>,
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

    fun explore() = explore(scenarios.map(::stepsOf), if (withExpiry) 1 else 0, if (withTrim) 1 else 0)

    private fun stepsOf(scenario: Scenario): List<Step> =
        when (scenario) {
            Scenario.RUNS, Scenario.REFUSED_AND_RELEASES -> listOf(Step.CLAIM, Step.READ)
            Scenario.RESPONSE_LOST -> listOf(Step.CLAIM, Step.RELEASE)
            Scenario.APPEND_AFTER_RELEASE -> listOf(Step.RELEASE, Step.DELAYED_APPEND)
            Scenario.REQUEST_LOST -> listOf(Step.RELEASE)
        }

    private fun explore(
        remaining: List<List<Step>>,
        expiries: Int,
        trims: Int,
    ) {
        if (remaining.all { it.isEmpty() }) return finish()
        remaining.indices.filter { remaining[it].isNotEmpty() }.forEach { claimant ->
            val undo = perform(claimant, remaining[claimant].first())
            val rest = remaining.toMutableList().also { it[claimant] = it[claimant].drop(1) }
            explore(rest, expiries, trims)
            undo()
        }
        if (expiries > 0) {
            expired = true
            explore(remaining, 0, trims)
            expired = false
        }
        if (trims > 0 && log.isNotEmpty()) {
            val before = trimmedBelow
            trimmedBelow = log.size
            explore(remaining, expiries, 0)
            trimmedBelow = before
        }
    }

    private fun perform(
        claimant: Int,
        step: Step,
    ): () -> Unit =
        when (step) {
            Step.CLAIM, Step.DELAYED_APPEND -> append(claimant, release = false)
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
        val status = tableOfNewReader().status(KEY, "c$claimant")
        if (status != ClaimStatus.Won) return {}
        if (scenarios[claimant] == Scenario.REFUSED_AND_RELEASES) return append(claimant, release = true)
        runs.add(claimant)
        return { runs.removeLast() }
    }

    private fun tableOfNewReader(): ClaimTable {
        val table = ClaimTable(0, 1)
        if (trimmedBelow > 0) table.skipTo(trimmedBelow.toLong())
        log.drop(trimmedBelow).forEach(table::add)
        return table
    }

    private fun finish() {
        histories++
        maxRuns = maxOf(maxRuns, runs.size)
        runHistogram.merge(runs.size, 1, Int::plus)
        if (runs.isNotEmpty() || expired || trimmedBelow > 0) return
        val undo = append(claimant = scenarios.size, release = false)
        if (tableOfNewReader().status(KEY, "c${scenarios.size}") != ClaimStatus.Won) blockedHistories++
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
            // Guards against two runs of a request due to concurrent claims, delayed appends, expiry or a short
            // retention.
            it("run the request at most once, also with expiry and a trimmed log") {
                var histories = 0
                combinations(3).forEach { scenarios ->
                    val explorer = Explorer(scenarios, withExpiry = true, withTrim = true)
                    explorer.explore()
                    histories += explorer.histories
                    (scenarios to explorer.maxRuns.coerceAtMost(1)) shouldBe (scenarios to explorer.maxRuns)
                }
                histories shouldBeGreaterThan 10_000
            }

            it("leave the key to the next claimant when nobody ran the request") {
                combinations(3).forEach { scenarios ->
                    val explorer = Explorer(scenarios, withExpiry = false, withTrim = false)
                    explorer.explore()
                    (scenarios to explorer.blockedHistories) shouldBe (scenarios to 0)
                }
            }

            it("run it exactly once when all claims are confirmed") {
                val explorer = Explorer(List(3) { Scenario.RUNS }, withExpiry = false, withTrim = false)
                explorer.explore()
                explorer.runHistogram.keys shouldBe setOf(1)
            }
        }
    })
