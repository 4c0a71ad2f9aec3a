package dev.baobabhollow.bench.distribution

import dev.baobabhollow.model.Endpoint
import dev.baobabhollow.model.FailureDomainId
import dev.baobabhollow.model.MovePriority
import dev.baobabhollow.model.NodeId
import dev.baobabhollow.model.NodeRecord
import dev.baobabhollow.model.NodeStatus
import dev.baobabhollow.model.ReleaseId
import dev.baobabhollow.model.ServiceId
import dev.baobabhollow.model.TargetRecord
import dev.baobabhollow.moves.MovePolicy
import dev.baobabhollow.moves.moveJudge
import dev.baobabhollow.peers.ControlCallbacks
import dev.baobabhollow.peers.ControlPlane
import dev.baobabhollow.peers.ControlPlaneSettings
import dev.baobabhollow.platformlog.HttpPlatformLog
import dev.baobabhollow.standins.FreePorts
import io.prometheus.metrics.model.registry.PrometheusRegistry
import io.prometheus.metrics.model.snapshots.CounterSnapshot
import java.util.SplittableRandom
import java.util.concurrent.atomic.AtomicLong

/** Fleet of real control planes with default settings on loopback. */
internal class PeerFleet(
    private val size: Int,
    private val options: DistributionOptions,
    private val logEndpoint: Endpoint,
) : BenchFleet {
    private class PeerNode(
        val plane: ControlPlane,
        val registry: PrometheusRegistry,
        val arrivals: VersionArrivals,
    )

    private val reads = AtomicLong()
    private val logs = mutableListOf<HttpPlatformLog>()
    private val endpoints = freeEndpoints(size)
    private val nodes = List(size, ::start)

    override val design = "peers"
    override val logReads: Long get() = reads.get()
    override val sentBytes: Double get() = nodes.sumOf(::sentBytesOf)

    override fun isSettled(): Boolean =
        nodes.all {
            it.plane.isReady && it.plane.view
                .live()
                .size == size
        }

    override fun arrivalsOf(version: Long): List<Long> = nodes.mapNotNull { it.arrivals.of(version) }

    override fun close() {
        nodes.forEach { it.plane.close() }
        logs.forEach { it.close() }
    }

    private fun start(index: Int): PeerNode {
        val registry = PrometheusRegistry()
        val arrivals = VersionArrivals()
        val log = HttpPlatformLog(logEndpoint).also(logs::add)
        val plane =
            ControlPlane(
                settings = ControlPlaneSettings(seeds = endpoints.take(options.domains)),
                self = recordOf(index),
                log = CountingLog(log, reads),
                clock = System::currentTimeMillis,
                random = SplittableRandom(options.seed + index),
                registry = registry,
                callbacks =
                    ControlCallbacks(
                        judgeFor = { move, _ -> moveJudge(move, MovePolicy.of(MovePriority.TAKE_BACK)) },
                        onChange = { state, _, _ -> arrivals.record(state.version) },
                    ),
            )
        plane.start()
        return PeerNode(plane, registry, arrivals)
    }

    private fun recordOf(index: Int): NodeRecord {
        val endpoint = endpoints[index]
        return NodeRecord(
            node = NodeId("node-$index"),
            failureDomain = FailureDomainId("domain-${index % options.domains}"),
            incarnation = System.currentTimeMillis(),
            status = NodeStatus.ALIVE,
            controlEndpoint = endpoint,
            peerCallEndpoint = endpoint,
            operatorEndpoint = endpoint,
            target = TargetRecord(ServiceId("vitrina"), ReleaseId("vitrina@7"), SLOTS, CONNECTIONS),
        )
    }

    private fun sentBytesOf(node: PeerNode): Double {
        val snapshot =
            node.registry.scrape { it == CONTROL_BYTES_METRIC }.firstOrNull() as? CounterSnapshot ?: return 0.0
        return snapshot.dataPoints.filter { it.labels.get("direction") == "sent" }.sumOf { it.value }
    }

    private companion object {
        const val HOST = "127.0.0.1"
        const val CONTROL_BYTES_METRIC = "baobabhollow_control_bytes"
        const val SLOTS = 12
        const val CONNECTIONS = 100

        fun freeEndpoints(count: Int): List<Endpoint> {
            val ports = FreePorts()
            return List(count) { Endpoint(HOST, ports.next()) }
        }
    }
}
