package dev.baobabhollow.bench.moves

import java.util.random.RandomGenerator
import kotlin.math.max

/** Describes what calls of one release, route and domain meet: added failures, latency factor and shed share. */
internal data class Conditions(
    val extraErrors: Double = 0.0,
    val slowFactor: Double = 1.0,
    val shedShare: Double = 0.0,
)

/**
 * Draws the fault of one move and what surrounds it. Times are milliseconds from the start of the move. All parameters are
 * drawn once, so a run depends on the seed alone.
 */
internal class SimulatedConditions(
    private val kind: MoveKind,
    private val planMillis: Long,
    watchMillis: Long,
    domains: Int,
    random: RandomGenerator,
) {
    private val errors = random.nextDouble(0.05, 0.5)
    private val rareErrors = random.nextDouble(0.3, 0.8)
    private val slowFactor = random.nextDouble(2.0, 4.0)
    private val faultAtMillis = random.nextLong(planMillis / 10, planMillis + watchMillis / 2)
    private val worseningAtMillis = random.nextLong(planMillis / 10, planMillis / 2)
    private val worseningErrors = random.nextDouble(0.1, 0.3)
    private val loadPermille = random.nextInt(300, 700)
    private val isSlowUnderLoad = random.nextBoolean()
    private val illDomain = random.nextInt(domains)
    private val illFromMillis = random.nextLong(planMillis / 20, planMillis)
    private val illUntilMillis = illFromMillis + random.nextLong(planMillis / 10, planMillis / 2)
    private val shedShare = random.nextDouble(0.1, 0.4)
    private val goodErrorFactor = random.nextDouble(0.7, 1.2)
    private val goodSlowFactor = random.nextDouble(0.9, 1.1)

    /** Factor on the old release's failures that a release without fault has. */
    val errorFactor: Double get() = goodErrorFactor

    /** Returns the fault of the new release at [atMillis] on the route with [isRare], at [sharePermille]. */
    fun fault(
        atMillis: Long,
        isRare: Boolean,
        sharePermille: Int,
    ): Conditions =
        when (kind) {
            MoveKind.BAD_AT_ONCE, MoveKind.BAD_REPORTED_HEALTHY,
            MoveKind.BAD_WITH_LITTLE_TRAFFIC, MoveKind.TWO_MOVES_BAD,
            -> {
                Conditions(extraErrors = errors)
            }

            MoveKind.BAD_LATER -> {
                if (atMillis >= faultAtMillis) Conditions(extraErrors = errors) else GOOD
            }

            MoveKind.BAD_UNDER_LOAD -> {
                underLoad(sharePermille)
            }

            MoveKind.BAD_ON_RARE_ROUTE -> {
                if (isRare) Conditions(extraErrors = rareErrors) else GOOD
            }

            MoveKind.SLOW -> {
                Conditions(slowFactor = slowFactor)
            }

            MoveKind.WORSENING -> {
                val progress = (atMillis - worseningAtMillis).toDouble() / (planMillis - worseningAtMillis)
                if (progress > 0) Conditions(extraErrors = worseningErrors * progress.coerceAtMost(1.0)) else GOOD
            }

            else -> {
                GOOD
            }
        }

    private fun underLoad(sharePermille: Int): Conditions =
        when {
            sharePermille < loadPermille -> GOOD
            isSlowUnderLoad -> Conditions(slowFactor = slowFactor)
            else -> Conditions(extraErrors = errors)
        }

    /** Returns what a target in [domain] meets that is no fault of a release, after [callsBefore] calls to it. */
    fun surroundings(
        atMillis: Long,
        domain: Int,
        isNew: Boolean,
        callsBefore: Long,
    ): Conditions =
        when {
            kind == MoveKind.GOOD_IN_ILL_DOMAIN && isIll(atMillis, domain) -> Conditions(ILL_ERRORS, ILL_SLOW_FACTOR)
            kind == MoveKind.GOOD_WHILE_SHEDDING && isNew && isIll(atMillis, domain) -> Conditions(0.0, 2.5, shedShare)
            kind == MoveKind.GOOD_COLD && isNew -> Conditions(0.0, coldFactor(callsBefore))
            isNew -> Conditions(0.0, goodSlowFactor)
            else -> GOOD
        }

    private fun isIll(
        atMillis: Long,
        domain: Int,
    ) = domain == illDomain && atMillis in illFromMillis..illUntilMillis

    private fun coldFactor(callsBefore: Long) =
        max(goodSlowFactor, COLD_FACTOR - callsBefore * COLD_FACTOR / COLD_CALLS)

    private companion object {
        val GOOD = Conditions()
        const val ILL_ERRORS = 0.2
        const val ILL_SLOW_FACTOR = 4.0
        const val COLD_FACTOR = 6.0
        const val COLD_CALLS = 50.0
    }
}
