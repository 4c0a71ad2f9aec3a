package dev.baobabhollow.peers

import dev.baobabhollow.membership.MembershipSettings
import dev.baobabhollow.model.Change
import dev.baobabhollow.model.Endpoint
import dev.baobabhollow.model.FailureDomainId
import dev.baobabhollow.model.LogRecord
import dev.baobabhollow.model.MemberConfig
import dev.baobabhollow.model.MemberId
import dev.baobabhollow.model.MoveId
import dev.baobabhollow.model.MoveState
import dev.baobabhollow.model.NodeId
import dev.baobabhollow.model.NodeRecord
import dev.baobabhollow.model.NodeStatus
import dev.baobabhollow.model.OutcomeSummary
import dev.baobabhollow.model.Patch
import dev.baobabhollow.model.PatchRecord
import dev.baobabhollow.model.ReleaseId
import dev.baobabhollow.model.ServiceId
import dev.baobabhollow.model.TargetRecord
import dev.baobabhollow.model.WriterId
import dev.baobabhollow.moves.MoveDecision
import dev.baobabhollow.moves.MoveJudge
import dev.baobabhollow.standins.FreePorts
import io.kotest.assertions.nondeterministic.eventually
import io.prometheus.metrics.model.registry.PrometheusRegistry
import io.prometheus.metrics.model.snapshots.CounterSnapshot
import java.util.Collections
import java.util.SplittableRandom
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.Duration.Companion.seconds

/** Runs real control planes on the loopback interface with one fake [log]. */
internal class TestFleet(
    val log: FakePlatformLog = FakePlatformLog(),
    private val settings: ControlPlaneSettings = SETTINGS,
    private val judgeFor: (NodeId, MoveId, MoveState) -> MoveJudge = { _, _, _ -> StubJudge() },
) : AutoCloseable {
    /** Failure domains that cannot reach the platform log. */
    val cutFromLog: MutableSet<FailureDomainId> = ConcurrentHashMap.newKeySet()

    /** Failure domains that cannot reach any other domain. */
    val cutFromPeers: MutableSet<FailureDomainId> = ConcurrentHashMap.newKeySet()
    val nodes = LinkedHashMap<NodeId, TestNode>()
    private val endpoints = LinkedHashMap<NodeId, Endpoint>()

    fun reserve(vararg names: String) = names.forEach { endpoints[NodeId(it)] = Endpoint(HOST, PORTS.next()) }

    /** Starts the node [name]. The part before the dash is its failure domain. */
    fun start(
        name: String,
        incarnation: Long = 1,
    ): TestNode {
        val id = NodeId(name)
        val domain = FailureDomainId(name.substringBefore('-'))
        val own = endpoints.getValue(id)
        val record = NodeRecord(id, domain, incarnation, NodeStatus.ALIVE, own, own, own, targetOf(name))
        val registry = PrometheusRegistry()
        val node = TestNode(record, registry)
        val drops = { other: FailureDomainId -> other != domain && (other in cutFromPeers || domain in cutFromPeers) }
        node.plane =
            ControlPlane(
                settings = settings.copy(seeds = endpoints.values.toList()),
                self = record,
                log = log.viewFrom { domain in cutFromLog },
                clock = System::currentTimeMillis,
                random = SplittableRandom(name.hashCode().toLong()),
                registry = registry,
                callbacks =
                    ControlCallbacks(
                        judgeFor = { move, state -> judgeFor(id, move, state) },
                        onChange = { state, _, _ -> node.recordVersion(state.version) },
                        dropsControl = drops,
                    ),
            )
        node.plane.start()
        nodes[id] = node
        return node
    }

    fun startAll() = endpoints.keys.forEach { start(it.value) }

    fun stop(name: String) = checkNotNull(nodes.remove(NodeId(name))).plane.close()

    /** Appends a patch that creates the version after [baseVersion]. */
    fun publish(
        baseVersion: Long,
        vararg changes: Change,
    ): Long {
        val patch = Patch(changes.toList().ifEmpty { listOf(putMember(baseVersion)) })
        return log.append(
            LogRecord(WriterId("cli-$baseVersion-${log.records().size}"), 1, PatchRecord(baseVersion, "ana", patch)),
        )
    }

    suspend fun awaitAll(
        seconds: Int = 15,
        condition: (TestNode) -> Boolean,
    ) = eventually(seconds.seconds) {
        val missing = nodes.values.filterNot(condition).map { it.record.node.value to it.plane.state.version }
        check(missing.isEmpty()) { "condition does not hold on $missing" }
    }

    override fun close() = nodes.values.forEach { it.plane.close() }

    companion object {
        const val HOST = "127.0.0.1"

        /** Targets of nodes with even numbers have the new release, so that moves to it can proceed. */
        private fun targetOf(name: String): TargetRecord {
            val isNew = name.substringAfter('-').toIntOrNull()?.let { it % 2 == 0 } ?: false
            return TargetRecord(ServiceId("vitrina"), ReleaseId(if (isNew) "8" else "7"), 12, 100)
        }

        /** Short periods keep the tests fast. Their ratios are those of the defaults. */
        val SETTINGS =
            ControlPlaneSettings(
                membership =
                    MembershipSettings(
                        probePeriodMillis = 200,
                        directProbeMillis = 70,
                        digestPeriodMillis = 200,
                        urgentPeriodMillis = 50,
                        isolatedAfterMillis = 600,
                        isolationGraceMillis = 3_000,
                    ),
                tickMillis = 20,
                requestTimeoutMillis = 1_000,
                peerSilenceMillis = 1_500,
                startGraceMillis = 500,
                longPollMillis = 1_000,
                moveDecisionMillis = 50,
                summaryPeriodMillis = 100,
                leadDelayMillis = 1_000,
                leadSilenceMillis = 600,
                maxBackoffMillis = 1_000,
            )

        fun putMember(number: Long) = Change.PutMember(MemberId("member-$number"), MemberConfig("Member $number"))

        private val PORTS = FreePorts()
    }
}

/** Running control plane with the versions that it has published, in order. */
internal class TestNode(
    val record: NodeRecord,
    private val registry: PrometheusRegistry,
) {
    lateinit var plane: ControlPlane
    val versions: MutableList<Long> = Collections.synchronizedList(mutableListOf())

    /** First version that was published while the node was ready. */
    @Volatile
    var firstReadyVersion: Long? = null
        private set

    fun recordVersion(version: Long) {
        versions += version
        if (plane.isReady && firstReadyVersion == null) firstReadyVersion = version
    }

    /** Returns the sum of the counter [name] over all points that have [label] as the value of any label. */
    fun count(
        name: String,
        label: String? = null,
    ): Double {
        val snapshot = registry.scrape { it == name }.firstOrNull() as? CounterSnapshot ?: return 0.0
        return snapshot.dataPoints
            .filter { p ->
                label == null || p.labels.any { it.value == label }
            }.sumOf { it.value }
    }
}

/** Returns the decisions of [next]. */
internal class StubJudge(
    private val next: (MoveState) -> MoveDecision = { MoveDecision.Hold("stub") },
) : MoveJudge {
    override fun observe(summary: OutcomeSummary) = Unit

    override fun decide(
        move: MoveState,
        nowMillis: Long,
    ): MoveDecision = next(move)
}
