package dev.baobabhollow.model

import kotlinx.serialization.Serializable

/**
 * Counts of the calls that the target of one node answered for one route and release since the previous summary.
 *
 * [shed] counts calls that the target refused because of overload, which is not held against the release. [latency] is
 * an encoded [LatencyHistogram]. [endsAtMillis] is the end of the counted period in epoch milliseconds.
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
