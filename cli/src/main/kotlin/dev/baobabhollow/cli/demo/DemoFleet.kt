package dev.baobabhollow.cli.demo

import dev.baobabhollow.cli.ChildProcess
import dev.baobabhollow.cli.ChildProcesses
import dev.baobabhollow.model.Endpoint
import dev.baobabhollow.model.FailureDomainId
import dev.baobabhollow.model.MemberId
import dev.baobabhollow.model.ModelJson
import dev.baobabhollow.model.NodeId
import dev.baobabhollow.model.ReleaseId
import dev.baobabhollow.model.ServiceId
import dev.baobabhollow.node.AddressSettings
import dev.baobabhollow.node.MovePolicySettings
import dev.baobabhollow.node.NodeSettings
import dev.baobabhollow.node.TargetSettings
import dev.baobabhollow.standins.FreePorts
import dev.baobabhollow.standins.StandInTargetOptions
import dev.baobabhollow.standins.TargetFaults
import kotlinx.serialization.encodeToString
import java.io.File

private const val HOST = "127.0.0.1"
private const val START_MILLIS = 20_000L

/** A running node and the target beside it. */
internal class DemoNode(
    val settings: NodeSettings,
    val target: Endpoint,
    val child: ChildProcess,
) {
    val operator: Endpoint get() = settings.addresses.operator
}

/**
 * Starts a stand-in platform log, targets and nodes as separate processes. Targets take [serviceMillis] per call, and
 * nodes run with [nodeFlags].
 */
internal class DemoFleet(
    private val children: ChildProcesses,
    private val directory: File,
    private val policies: Map<MemberId, MovePolicySettings>,
    private val serviceMillis: Double = 2.0,
    private val faultInjection: Boolean = false,
    private val nodeFlags: List<String> = ChildProcesses.nodeFlags(),
) {
    private val ports = FreePorts()
    private val addresses = HashMap<String, AddressSettings>()

    /** Starts the platform log and returns its endpoint. */
    fun startLog(): Endpoint =
        children.start("log", ChildProcesses.STANDIN_FLAGS, "standin", "log").awaitEndpoint(START_MILLIS)

    /** Starts the nodes of [plans] and their targets. The first node of each failure domain is a seed for all. */
    fun startNodes(
        plans: List<NodePlan>,
        log: Endpoint,
    ): List<DemoNode> = startNodes(plans, { log })

    /**
     * Starts the nodes of [plans] and their targets. [logOf] returns a node's platform log; [seeds] replaces the
     * default seeds.
     */
    fun startNodes(
        plans: List<NodePlan>,
        logOf: (NodePlan) -> Endpoint,
        seeds: List<Endpoint>? = null,
    ): List<DemoNode> {
        plans.forEach { addresses[it.name] = newAddresses() }
        val targets = plans.associateWith { startTarget(it) }
        val nodeSeeds = seeds ?: plans.distinctBy { it.domain }.map { addresses.getValue(it.name).control }
        return targets.map { (plan, target) ->
            startNode(plan, target.awaitEndpoint(START_MILLIS), nodeSeeds, logOf(plan))
        }
    }

    /** Restarts the process of [node] with the same settings. */
    fun restart(node: DemoNode): DemoNode = DemoNode(node.settings, node.target, startProcess(node.settings))

    private fun startTarget(plan: NodePlan): ChildProcess {
        val options =
            StandInTargetOptions(
                name = plan.name,
                service = plan.service,
                release = plan.release,
                slots = plan.slots,
                connections = plan.connections,
                serviceMillis = serviceMillis,
                serviceJitterPermille = 200,
                // With a common seed the targets would fail in lockstep, and in a short run some would not fail at all.
                seed = plan.name.hashCode().toLong(),
                faults = TargetFaults(errorPermille = plan.errorPermille, healthSays = "ok"),
            )
        val text = ModelJson.encodeToString(options)
        return children.start(
            "target-${plan.name}",
            ChildProcesses.STANDIN_FLAGS,
            "standin",
            "target",
            "--options",
            text,
        )
    }

    private fun startNode(
        plan: NodePlan,
        target: Endpoint,
        seeds: List<Endpoint>,
        log: Endpoint,
    ): DemoNode {
        val settings =
            NodeSettings(
                node = NodeId(plan.name),
                failureDomain = FailureDomainId(plan.domain),
                addresses = addresses.getValue(plan.name),
                seeds = seeds,
                platformLog = log,
                target =
                    TargetSettings(
                        endpoint = target,
                        service = ServiceId(plan.service),
                        release = ReleaseId(plan.release),
                        slots = plan.slots,
                        connections = plan.connections,
                    ),
                members = policies,
                faultInjection = faultInjection,
            )
        return DemoNode(settings, target, startProcess(settings))
    }

    private fun startProcess(settings: NodeSettings): ChildProcess {
        val name = settings.node.value
        val file = File(directory, "$name.json")
        file.writeText(ModelJson.encodeToString(settings))
        return children.start(name, nodeFlags, "node", "--settings", file.path)
    }

    private fun newAddresses() = AddressSettings(endpoint(), endpoint(), endpoint(), endpoint())

    private fun endpoint() = Endpoint(HOST, ports.next())
}

/** Configuration of a node to start, its failure domain and the target beside it. */
internal data class NodePlan(
    val name: String,
    val domain: String,
    val service: String,
    val release: String,
    val slots: Int = 12,
    val connections: Int = 100,
    val errorPermille: Int = 0,
)
