package dev.baobabhollow.node

import dev.baobabhollow.proxy.claims.ClaimCounters
import io.prometheus.metrics.core.metrics.CounterWithCallback
import io.prometheus.metrics.core.metrics.GaugeWithCallback
import io.prometheus.metrics.model.registry.PrometheusRegistry

/** Shows values of the node that others count: they are read when the metrics are scraped. */
internal class NodeMetrics(
    private val registry: PrometheusRegistry,
) {
    /** Shows [value] as the gauge baobabhollow_[name]. */
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

    /** Shows the counts of claims by result. */
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
}
