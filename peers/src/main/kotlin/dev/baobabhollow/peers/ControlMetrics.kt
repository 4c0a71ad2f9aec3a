package dev.baobabhollow.peers

import io.prometheus.metrics.core.metrics.Counter
import io.prometheus.metrics.core.metrics.Gauge
import io.prometheus.metrics.model.registry.PrometheusRegistry

/** Metrics of the control plane. Bytes are payload bytes without IP, UDP and TCP headers. */
internal class ControlMetrics(
    private val registry: PrometheusRegistry,
) {
    private val bytes = counter("control_bytes", "Control traffic in payload bytes", "transport", "direction")
    private val messages = counter("control_messages", "Control messages", "transport", "direction")
    private val ignored = counter("control_ignored", "Control messages that were ignored", "reason")
    private val fullRings = counter("control_ring_full", "Messages dropped because a ring was full", "ring")
    private val transfers = counter("control_transfers", "Answers to pulls", "answer")
    private val logCalls = counter("control_log_calls", "Calls to the platform log", "call", "result")
    private val divergences = counter("control_divergences", "Peers with another state at the same offset")
    private val eraChanges =
        counter("configuration_era_changes", "Later eras of the platform log that the node entered")
    private val era = gauge("configuration_era", "Era of the configuration state, 0 if the log has never gone back")
    private val offset = gauge("configuration_offset", "Offset of the configuration state")
    private val version = gauge("configuration_version", "Version of the configuration state")
    private val evacuated = gauge("evacuated_domains", "Failure domains whose targets get no calls")
    private val nodes = gauge("control_live_nodes", "Nodes that are neither leaving nor dead")

    fun countSent(
        transport: String,
        size: Int,
    ) = countTraffic(transport, "sent", size)

    fun countReceived(
        transport: String,
        size: Int,
    ) = countTraffic(transport, "received", size)

    fun countIgnored(reason: String) = ignored.labelValues(reason).inc()

    fun countFullRing(ring: String) = fullRings.labelValues(ring).inc()

    fun countTransfer(response: String) = transfers.labelValues(response).inc()

    fun countLogCall(
        call: String,
        result: String,
    ) = logCalls.labelValues(call, result).inc()

    fun countDivergence() = divergences.inc()

    fun countEraChange() = eraChanges.inc()

    fun showPosition(position: Position) {
        era.set(position.era.toDouble())
        offset.set(position.offset.toDouble())
        version.set(position.version.toDouble())
    }

    fun showEvacuatedDomains(count: Int) = evacuated.set(count.toDouble())

    fun showLiveNodes(count: Int) = nodes.set(count.toDouble())

    private fun countTraffic(
        transport: String,
        direction: String,
        size: Int,
    ) {
        bytes.labelValues(transport, direction).inc(size.toDouble())
        messages.labelValues(transport, direction).inc()
    }

    private fun counter(
        name: String,
        help: String,
        vararg labels: String,
    ): Counter =
        Counter
            .builder()
            .name("baobabhollow_$name")
            .help(help)
            .labelNames(*labels)
            .register(registry)

    private fun gauge(
        name: String,
        help: String,
    ): Gauge =
        Gauge
            .builder()
            .name("baobabhollow_$name")
            .help(help)
            .register(registry)
}
