package dev.baobabhollow.moves

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.doubles.plusOrMinus
import io.kotest.matchers.doubles.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import kotlin.math.exp
import kotlin.math.pow

private val ALTERNATIVES = doubleArrayOf(3.0, 20.0)

private fun choose(
    n: Long,
    k: Long,
): Double = (1..k).fold(1.0) { product, i -> product * (n - k + i) / i }

/** Returns the mean of the e-value over all outcomes with a total of [hits], if the true odds ratio is [odds]. */
private fun meanOfPaired(
    newCalls: Long,
    oldCalls: Long,
    hits: Long,
    odds: Double,
    nullOdds: Double,
    alternative: Int,
): Double {
    val range = maxOf(0, hits - oldCalls)..minOf(newCalls, hits)
    val weights = range.map { choose(newCalls, it) * choose(oldCalls, hits - it) * odds.pow(it.toInt()) }
    val values =
        range.map {
            val counts = PairedCounts(newCalls, it, oldCalls, hits - it)
            exp(pairedLogRatios(counts, nullOdds, ALTERNATIVES)[alternative])
        }
    return weights.zip(values).sumOf { it.first * it.second } / weights.sum()
}

class LogLikelihoodRatiosSpec :
    DescribeSpec({
        describe("the ratio for paired outcomes") {
            // Guards against an error in the normalizing sums, which would invalidate the false alarm rate.
            it("has mean 1 at the limit of the null hypothesis") {
                for (hits in listOf(0L, 1L, 4L, 11L, 15L)) {
                    meanOfPaired(5, 10, hits, 1.5, 1.5, 0) shouldBe (1.0 plusOrMinus 1e-9)
                    meanOfPaired(5, 10, hits, 1.5, 1.5, 1) shouldBe (1.0 plusOrMinus 1e-9)
                }
            }

            it("has a mean of at most 1 within the null hypothesis") {
                for (odds in listOf(0.2, 0.9, 1.4)) meanOfPaired(8, 30, 6, odds, 1.5, 1) shouldBeLessThanOrEqual 1.0
            }

            it("rises with the hits of the new release") {
                val ratios = (0L..4L).map { pairedLogRatios(PairedCounts(4, it, 50, 4 - it), 1.5, ALTERNATIVES)[0] }
                ratios shouldBe ratios.sorted()
            }
        }

        describe("the ratio against the reference") {
            it("has mean 1 at the limit of the null hypothesis") {
                val share = 0.1
                val mean =
                    (0L..12L).sumOf {
                        val weight = choose(12, it) * share.pow(it.toInt()) * (1 - share).pow(12 - it.toInt())
                        weight * exp(referenceLogRatios(12, it, share, ALTERNATIVES)[1])
                    }
                mean shouldBe (1.0 plusOrMinus 1e-9)
            }
        }
    })
