package dev.baobabhollow.peers

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.andThen
import dev.baobabhollow.membership.FleetView
import dev.baobabhollow.membership.OutgoingMessage
import dev.baobabhollow.model.Endpoint
import dev.baobabhollow.model.FailureDomainId
import dev.baobabhollow.model.NodeRecord
import dev.baobabhollow.model.OrderedStage

/** Sends datagrams and requests for the control thread, and drops those that fault injection cuts off. */
internal class PeerSender(
    private val self: NodeRecord,
    private val transport: PeerTransport,
    private val settings: ControlPlaneSettings,
    private val metrics: ControlMetrics,
    private val clock: () -> Long,
    private val dropsControl: (FailureDomainId) -> Boolean,
) {
    private var domains: Map<Endpoint, FailureDomainId> = emptyMap()
    private var revision = -1L

    /** Updates the map from endpoints to failure domains. */
    fun updateView(view: FleetView) {
        if (view.revision == revision) return
        revision = view.revision
        domains = view.nodes.values.associate { it.controlEndpoint to it.failureDomain }
    }

    fun isDroppedFrom(domain: FailureDomainId): Boolean = dropsControl(domain).also { if (it) countDropped() }

    /** Sends [outgoing], without [alerts] and [stages] if the datagram would be too long with them. */
    fun send(
        outgoing: OutgoingMessage,
        position: Position,
        alerts: List<MoveAlert>,
        stages: List<OrderedStage> = emptyList(),
    ) {
        if (isDroppedTo(outgoing.to)) return
        val sentAtMillis = if (stages.isEmpty()) null else clock()
        val full = PeerCodec.encode(PeerDatagram(outgoing.message, position, alerts, stages, sentAtMillis))
        if (full.size <= settings.maxDatagramBytes) return transport.send(outgoing.to, full)
        val reduced = PeerCodec.encode(PeerDatagram(outgoing.message, position))
        if (reduced.size > settings.maxDatagramBytes) return metrics.countIgnored("own datagram too long")
        transport.send(outgoing.to, reduced)
    }

    fun request(
        to: Endpoint,
        body: FrameBody,
        onResponse: (Result<PeerFrame, PeerError>) -> Unit,
    ) {
        if (isDroppedTo(to)) return onResponse(Err(PeerError.NoAnswer("dropped")))
        transport.request(to, frame(body)) { response -> onResponse(response.andThen(::admit)) }
    }

    fun frame(body: FrameBody) = PeerFrame(self.node, self.failureDomain, body)

    private fun admit(frame: PeerFrame): Result<PeerFrame, PeerError> =
        if (isDroppedFrom(frame.failureDomain)) Err(PeerError.NoAnswer("dropped")) else Ok(frame)

    private fun isDroppedTo(endpoint: Endpoint): Boolean = domains[endpoint]?.let(::isDroppedFrom) ?: false

    private fun countDropped() = metrics.countIgnored("fault injection")
}
