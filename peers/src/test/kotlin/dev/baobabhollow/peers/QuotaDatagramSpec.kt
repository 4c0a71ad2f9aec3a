package dev.baobabhollow.peers

import dev.baobabhollow.model.Endpoint
import dev.baobabhollow.standins.FreePorts
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import io.prometheus.metrics.model.registry.PrometheusRegistry
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit

private const val WAIT_SECONDS = 10L

/** Guards the way of a question and its answer through the sockets: an answer goes to the sender of the question. */
class QuotaDatagramSpec :
    DescribeSpec({
        describe("a message about a quota") {
            it("arrives with the control endpoint of its sender") {
                val ports = FreePorts()
                val (a, b) = List(2) { Endpoint("127.0.0.1", ports.next()) }
                val received = LinkedBlockingQueue<Pair<QuotaMessage, Endpoint>>()
                transport(a, received).use { first ->
                    transport(b, received).use {
                        val question = QuotaMessage.Question(7, 0x34_5678_9ABCL, 3)
                        first.send(b, QuotaCodec.encode(question))
                        received.poll(WAIT_SECONDS, TimeUnit.SECONDS) shouldBe (question to a)
                    }
                }
            }
        }
    }) {
    private companion object {
        fun transport(
            endpoint: Endpoint,
            received: LinkedBlockingQueue<Pair<QuotaMessage, Endpoint>>,
        ): PeerTransport {
            val handler =
                object : PeerHandler {
                    override fun onDatagram(datagram: PeerDatagram) = Unit

                    override fun onQuotaMessage(
                        message: QuotaMessage,
                        from: Endpoint,
                    ) = received.put(message to from)

                    override fun onRequest(
                        frame: PeerFrame,
                        reply: (PeerFrame) -> Unit,
                    ) = Unit
                }
            val metrics = ControlMetrics(PrometheusRegistry())
            return PeerTransport(endpoint, ControlPlaneSettings(), metrics, handler).apply { start() }
        }
    }
}
