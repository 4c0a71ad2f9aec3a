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

/** Sends on behalf of the control thread and drops what fault injection forbids. */
internal class Outbox(
    private val self: NodeRecord,
    private val transport: PeerTransport,
    private val settings: ControlPlaneSettings,
    private val metrics: ControlMetrics,
    private val dropsControl: (FailureDomainId) -> Boolean,
) {
    private var domains: Map<Endpoint, FailureDomainId> = emptyMap()
    private var revision = -1L

    /** Learns which failure domain an endpoint belongs to. */
    fun useView(view: FleetView) {
        if (view.revision == revision) return
        revision = view.revision
        domains = view.nodes.values.associate { it.controlEndpoint to it.failureDomain }
    }

    fun isDroppedFrom(domain: FailureDomainId): Boolean = dropsControl(domain).also { if (it) countDropped() }

    fun send(
        outgoing: OutgoingMessage,
        position: Position,
        alerts: List<MoveAlert>,
        stages: List<OrderedStage> = emptyList(),
    ) {
        if (isDroppedTo(outgoing.to)) return
        val full = PeerCodec.encode(PeerDatagram(outgoing.message, position, alerts, stages))
        if (full.size <= settings.maxDatagramBytes) return transport.send(outgoing.to, full)
        val bare = PeerCodec.encode(PeerDatagram(outgoing.message, position))
        if (bare.size > settings.maxDatagramBytes) return metrics.countIgnored("own datagram too long")
        transport.send(outgoing.to, bare)
    }

    fun request(
        to: Endpoint,
        body: FrameBody,
        onAnswer: (Result<PeerFrame, PeerError>) -> Unit,
    ) {
        if (isDroppedTo(to)) return onAnswer(Err(PeerError.NoAnswer("dropped")))
        transport.request(to, frame(body)) { answer -> onAnswer(answer.andThen(::admit)) }
    }

    fun frame(body: FrameBody) = PeerFrame(self.node, self.failureDomain, body)

    private fun admit(frame: PeerFrame): Result<PeerFrame, PeerError> =
        if (isDroppedFrom(frame.failureDomain)) Err(PeerError.NoAnswer("dropped")) else Ok(frame)

    private fun isDroppedTo(endpoint: Endpoint): Boolean = domains[endpoint]?.let(::isDroppedFrom) ?: false

    private fun countDropped() = metrics.countIgnored("fault injection")
}
