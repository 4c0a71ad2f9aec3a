package dev.baobabhollow.cli.faults

import dev.baobabhollow.cli.ChildProcesses
import dev.baobabhollow.cli.Publisher
import dev.baobabhollow.cli.demo.DemoNode
import dev.baobabhollow.cli.demo.VersionWatch
import dev.baobabhollow.cli.fail
import dev.baobabhollow.model.Change
import dev.baobabhollow.model.MemberConfig
import dev.baobabhollow.model.MemberId
import dev.baobabhollow.model.Patch
import dev.baobabhollow.model.ReleaseId
import dev.baobabhollow.model.RouteConfig
import dev.baobabhollow.model.RouteId
import dev.baobabhollow.model.ServiceConfig
import dev.baobabhollow.model.ServiceId
import dev.baobabhollow.platformlog.HttpPlatformLog
import java.io.File

private const val START_MILLIS = 40_000L
private const val AGREEMENT_MILLIS = 30_000L

/** Result of one cell of the matrix, that is of one step under one fault. */
internal data class CellResult(
    val fault: String,
    val step: String,
    val isHeld: Boolean,
    val observed: String,
)

/** Runs steps under faults against the processes of a [FaultCluster], one cell at a time. */
internal class FaultMatrix(
    private val children: ChildProcesses,
    private val directory: File,
    private val printProgress: (String) -> Unit,
) {
    fun run(
        faults: List<Fault>,
        steps: List<FaultStep>,
    ): List<CellResult> =
        FaultCluster(children, directory).use { cluster ->
            prepare(cluster, printProgress)
            faults.flatMap { fault -> steps.map { step -> runCell(cluster, fault, step) } }
        }

    private fun runCell(
        cluster: FaultCluster,
        fault: Fault,
        step: FaultStep,
    ): CellResult {
        val watched = cluster.nodes.filter { !isRestarted(cluster, fault, it) }
        val watch = VersionWatch(cluster.operators, watched)
        watch.start()
        val result =
            try {
                fault.inject(cluster)
                CellResult(fault.name, step.name, true, step.run(cluster, fault))
            } catch (e: PromiseBroken) {
                CellResult(fault.name, step.name, false, e.message.orEmpty())
            }
        val checked = healAndCheck(cluster, fault, result, watch)
        watch.close()
        printProgress(
            "${checked.fault} / ${checked.step}: ${if (checked.isHeld) "held" else "BROKEN"}: ${checked.observed}",
        )
        return checked
    }

    /** Heals the fault and checks that all nodes agree again and that none returned to an earlier version. */
    private fun healAndCheck(
        cluster: FaultCluster,
        fault: Fault,
        result: CellResult,
        watch: VersionWatch,
    ): CellResult {
        fault.heal(cluster)
        val agrees = cluster.awaitAgreement(System.currentTimeMillis() + AGREEMENT_MILLIS)
        return when {
            !result.isHeld -> result
            !agrees -> result.copy(isHeld = false, observed = "no agreement after the fault; ${result.observed}")
            watch.stepsBack.isNotEmpty() -> result.copy(isHeld = false, observed = "went back: ${watch.stepsBack}")
            else -> result
        }
    }

    /** True if [fault] restarts [node], which then starts without state; its lower version is no violation. */
    private fun isRestarted(
        cluster: FaultCluster,
        fault: Fault,
        node: DemoNode,
    ): Boolean = (fault.hitsDomain && node in cluster.faulty) || (fault.hitsVictim && node == cluster.victim)
}

/** Waits until the nodes have discovered each other, and publishes the first configuration. */
internal fun prepare(
    cluster: FaultCluster,
    printProgress: (String) -> Unit,
) {
    val deadline = System.currentTimeMillis() + START_MILLIS
    val count = cluster.nodes.size
    val isConnected = cluster.awaitUntil(deadline) { cluster.nodes.all { cluster.status(it)?.liveNodes == count } }
    if (!isConnected) fail("the nodes did not find each other")
    val outcome =
        HttpPlatformLog(cluster.log).use {
            Publisher(it, cluster.operators, cluster.healthy.first().operator)
                .publish(0, FIRST_CONFIGURATION, "ana", deadline)
        }
    printProgress("first configuration: $outcome")
    if (!cluster.awaitAgreement(deadline)) fail("the nodes did not agree at the start")
}

private val FIRST_CONFIGURATION =
    Patch(
        listOf(
            Change.PutMember(MemberId("m"), MemberConfig("M")),
            Change.PutService(
                ServiceId("s"),
                ServiceConfig(MemberId("m"), setOf(ReleaseId("1"), ReleaseId("2")), ReleaseId("1")),
            ),
            Change.PutRoute(RouteId("look"), RouteConfig(ServiceId("s"), "/s")),
            Change.PutRoute(RouteId("once"), RouteConfig(ServiceId("s"), "/once", idempotent = false)),
        ),
    )
