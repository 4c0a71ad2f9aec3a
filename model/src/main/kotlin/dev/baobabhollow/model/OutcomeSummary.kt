package dev.baobabhollow.model

import kotlinx.serialization.Serializable

/**
 * Sums up the calls that one node's target answered for one route and release since the summary before.
 *
 * [shed] counts calls that the target refused under load and that are no fault of the release. [latency] holds an encoded
 * [LatencyHistogram]. [endsAtMillis] is the epoch time at which counting ended.
 */
@Serializable
data class OutcomeSummary(
    val node: NodeId,
    val failureDomain: FailureDomainId,
    val service: ServiceId,
    val route: RouteId,
    val release: ReleaseId,
    val endsAtMillis: Long,
    val calls: Long,
    val errors: Long,
    val shed: Long,
    val latency: ByteArray,
) {
    override fun equals(other: Any?): Boolean = other is OutcomeSummary && key() == other.key()

    override fun hashCode(): Int = key().hashCode()

    private fun key(): List<Any> =
        listOf(
            node,
            failureDomain,
            service,
            route,
            release,
            endsAtMillis,
            calls,
            errors,
            shed,
            latency.asList(),
        )
}
