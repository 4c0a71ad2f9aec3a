package dev.baobabhollow.calls

/**
 * Bound on the requests of one tenant over all nodes: in any [windowSeconds], at most
 * (rate * window + burst) * (1 + [overShare]) + [slack] requests reach a target.
 *
 * [failureDomains] is the number of failure domains that a node assumes until it knows more. A domain that restarts
 * while it is cut off from all others would otherwise use the whole quota.
 */
data class QuotaSettings(
    val windowSeconds: Double = 5.0,
    val overShare: Double = 0.1,
    val slack: Double = 20.0,
    val failureDomains: Int = DEFAULT_FAILURE_DOMAINS,
) {
    /**
     * Time after which a token that was not used expires, in milliseconds. Tokens that were issued before a window and
     * used in it exceed the limit by rate * life, which takes at most half of [overShare].
     */
    val tokenLifeMillis: Long
        get() =
            (windowSeconds * overShare / 2 * MILLIS_PER_SECOND)
                .toLong()
                .coerceIn(MIN_TOKEN_LIFE_MILLIS, MAX_TOKEN_LIFE_MILLIS)

    /**
     * Returns the capacity in tokens of one of [domains] buckets that share [limit]. Half of [slack] is added, so that a
     * tenant of a few requests a second finds whole tokens in each domain; the other half is the reserve for delays.
     */
    fun capacity(
        limit: QuotaLimit,
        domains: Int,
    ): Double = ((limit.burst + slack / 2) / domains).coerceAtLeast(1.0)

    private companion object {
        const val DEFAULT_FAILURE_DOMAINS = 3
        const val MILLIS_PER_SECOND = 1_000

        /** Shorter lives than a few round trips between failure domains would make tokens useless. */
        const val MIN_TOKEN_LIFE_MILLIS = 20L
        const val MAX_TOKEN_LIFE_MILLIS = 250L
    }
}

/** Requests a second and burst that one tenant may use over all nodes. The rate is positive. */
data class QuotaLimit(
    val ratePerSecond: Double,
    val burst: Double,
)
