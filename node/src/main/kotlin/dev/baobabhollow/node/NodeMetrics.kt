package dev.baobabhollow.node

import dev.baobabhollow.proxy.claims.ClaimCounters
import io.prometheus.metrics.core.metrics.Counter
import io.prometheus.metrics.core.metrics.CounterWithCallback
import io.prometheus.metrics.core.metrics.GaugeWithCallback
import io.prometheus.metrics.core.metrics.Histogram
import io.prometheus.metrics.model.registry.PrometheusRegistry

/** Metrics of the node. Lag is recorded here; values that other classes hold are read when the metrics are scraped. */
internal class NodeMetrics(
    private val registry: PrometheusRegistry,
) {
    private val loopLag =
        Histogram
            .builder()
            .name("baobabhollow_loop_lag_seconds")
            .help("Longest time in each second by which an event loop was late")
            .classicOnly()
            .register(registry)
    private val controlBusy =
        Counter
            .builder()
            .name("baobabhollow_control_busy_seconds_total")
            .help("Time that the control thread has worked")
            .register(registry)

    /** Registers the gauge baobabhollow_[name], which reads [value] at each scrape. */
    fun gauge(
        name: String,
        help: String,
        value: () -> Number,
    ) {
        GaugeWithCallback
            .builder()
            .name("baobabhollow_$name")
            .help(help)
            .callback { it.call(value().toDouble()) }
            .register(registry)
    }

    /** Records the lag of one period. */
    fun count(sample: LagSample) {
        loopLag.observe(sample.loopLagMillis / MILLIS_PER_SECOND)
        controlBusy.inc(sample.control.busyMillis / MILLIS_PER_SECOND)
    }

    /** Registers the numbers of claims by result. */
    fun claims(counters: ClaimCounters) {
        CounterWithCallback
            .builder()
            .name("baobabhollow_key_claims")
            .help("Claims of caller-made idempotency keys")
            .labelNames("result")
            .callback {
                it.call(counters.won.toDouble(), "won")
                it.call(counters.lost.toDouble(), "lost")
                it.call(counters.notRun.toDouble(), "not-run")
                it.call(counters.refused.toDouble(), "refused")
                it.call(counters.lostReleases.toDouble(), "lost-release")
            }.register(registry)
    }

    /** Registers the counts of [quotas]. */
    fun quotas(quotas: NodeQuotas) {
        gauge("quota_allocated_tenants", "Tenants whose tokens this node allocates") { quotas.allocatedTenants }
        CounterWithCallback
            .builder()
            .name("baobabhollow_quota_questions")
            .help("Questions for tokens that this node has sent to others")
            .callback { it.call(quotas.questions.toDouble()) }
            .register(registry)
        CounterWithCallback
            .builder()
            .name("baobabhollow_quota_requests")
            .help("Requests of tenants with a limit by decision; tenants beyond the first 100 have an empty name")
            .labelNames("tenant", "result")
            .callback { call ->
                quotas.counts.forEach { count, tenant, result -> call.call(count.toDouble(), tenant, result) }
            }.register(registry)
    }

    private companion object {
        const val MILLIS_PER_SECOND = 1_000.0
    }
}
