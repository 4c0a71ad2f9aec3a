package dev.baobabhollow.bench.moves

import java.util.random.RandomGenerator
import kotlin.math.max

/** Conditions for calls of one release, route and domain: added error share, latency factor and shed share. */
internal data class Conditions(
    val extraErrorShare: Double = 0.0,
    val slowFactor: Double = 1.0,
    val shedShare: Double = 0.0,
)

/**
 * Randomly chosen fault and environment of one move. Times are milliseconds from the start of the move. All parameters
 * are drawn on construction, so a run depends only on the seed.
 */
internal class SimulatedConditions(
    private val kind: MoveKind,
    private val planMillis: Long,
    watchMillis: Long,
    domains: Int,
    random: RandomGenerator,
) {
    private val errorShare = random.nextDouble(0.05, 0.5)
    private val rareRouteErrorShare = random.nextDouble(0.3, 0.8)
    private val slowFactor = random.nextDouble(2.0, 4.0)
    private val faultAtMillis = random.nextLong(planMillis / 10, planMillis + watchMillis / 2)
    private val worseningAtMillis = random.nextLong(planMillis / 10, planMillis / 2)
    private val worseningErrorShare = random.nextDouble(0.1, 0.3)
    private val loadPermille = random.nextInt(300, 700)
    private val isSlowUnderLoad = random.nextBoolean()
    private val unhealthyDomain = random.nextInt(domains)
    private val unhealthyFromMillis = random.nextLong(planMillis / 20, planMillis)
    private val unhealthyUntilMillis = unhealthyFromMillis + random.nextLong(planMillis / 10, planMillis / 2)
    private val shedShare = random.nextDouble(0.1, 0.4)
    private val goodErrorFactor = random.nextDouble(0.7, 1.2)
    private val goodSlowFactor = random.nextDouble(0.9, 1.1)

    /** Error share of the new release apart from its fault, as a multiple of the old release's. */
    val errorFactor: Double get() = goodErrorFactor

    /** Returns the effect of the new release's fault on a route at [atMillis] and [sharePermille]. */
    fun fault(
        atMillis: Long,
        isRareRoute: Boolean,
        sharePermille: Int,
    ): Conditions =
        when (kind) {
            MoveKind.BAD_AT_ONCE, MoveKind.BAD_REPORTED_HEALTHY,
            MoveKind.BAD_WITH_LITTLE_TRAFFIC, MoveKind.TWO_MOVES_BAD,
            -> {
                Conditions(extraErrorShare = errorShare)
            }

            MoveKind.BAD_LATER -> {
                if (atMillis >= faultAtMillis) Conditions(extraErrorShare = errorShare) else HEALTHY
            }

            MoveKind.BAD_UNDER_LOAD -> {
                underLoad(sharePermille)
            }

            MoveKind.BAD_ON_RARE_ROUTE -> {
                if (isRareRoute) Conditions(extraErrorShare = rareRouteErrorShare) else HEALTHY
            }

            MoveKind.SLOW -> {
                Conditions(slowFactor = slowFactor)
            }

            MoveKind.WORSENING -> {
                val progress = (atMillis - worseningAtMillis).toDouble() / (planMillis - worseningAtMillis)
                if (progress > 0) {
                    Conditions(extraErrorShare = worseningErrorShare * progress.coerceAtMost(1.0))
                } else {
                    HEALTHY
                }
            }

            else -> {
                HEALTHY
            }
        }

    private fun underLoad(sharePermille: Int): Conditions =
        when {
            sharePermille < loadPermille -> HEALTHY
            isSlowUnderLoad -> Conditions(slowFactor = slowFactor)
            else -> Conditions(extraErrorShare = errorShare)
        }

    /** Returns the conditions of a target in [domain] after [callsReceived] calls, without its release's fault. */
    fun environment(
        atMillis: Long,
        domain: Int,
        isNew: Boolean,
        callsReceived: Long,
    ): Conditions =
        when {
            kind == MoveKind.GOOD_IN_ILL_DOMAIN && isUnhealthy(atMillis, domain) -> {
                Conditions(UNHEALTHY_ERROR_SHARE, UNHEALTHY_SLOW_FACTOR)
            }

            kind == MoveKind.GOOD_WHILE_SHEDDING && isNew && isUnhealthy(atMillis, domain) -> {
                Conditions(0.0, 2.5, shedShare)
            }

            kind == MoveKind.GOOD_COLD && isNew -> {
                Conditions(0.0, coldFactor(callsReceived))
            }

            isNew -> {
                Conditions(0.0, goodSlowFactor)
            }

            else -> {
                HEALTHY
            }
        }

    private fun isUnhealthy(
        atMillis: Long,
        domain: Int,
    ) = domain == unhealthyDomain && atMillis in unhealthyFromMillis..unhealthyUntilMillis

    private fun coldFactor(callsReceived: Long) =
        max(goodSlowFactor, COLD_FACTOR - callsReceived * COLD_FACTOR / COLD_CALLS)

    private companion object {
        val HEALTHY = Conditions()
        const val UNHEALTHY_ERROR_SHARE = 0.2
        const val UNHEALTHY_SLOW_FACTOR = 4.0
        const val COLD_FACTOR = 6.0
        const val COLD_CALLS = 50.0
    }
}
