package dev.baobabhollow.cli.faults

import dev.baobabhollow.cli.ChildProcesses
import dev.baobabhollow.cli.demo.DemoNode
import dev.baobabhollow.cli.demo.LoadGenerator
import dev.baobabhollow.cli.demo.LoadRoute
import dev.baobabhollow.cli.demo.VersionWatch
import java.io.File
import java.util.concurrent.TimeUnit

private const val CALLS_PER_SECOND = 60
private const val AGREEMENT_MILLIS = 30_000L

/** Limit for a planned stop; nodes stop within ten seconds, and the rest is margin. */
private const val STOP_SECONDS = 20L

/** Whether all promises held during a soak, and what was observed. */
internal data class SoakResult(
    val seed: Long,
    val isHeld: Boolean,
    val observed: String,
)

/**
 * Runs real processes under the faults of [soakPlan] while callers send calls and an operator publishes patches, and
 * checks the results that callers, operator and targets have observed.
 */
internal class Soak(
    private val children: ChildProcesses,
    private val directory: File,
    private val printProgress: (String) -> Unit,
) {
    /** Process ids of nodes that were told to stop before their operator port responded. */
    private val startingPids = HashSet<Long>()

    /** Injects random faults drawn from [seed] for [spanMillis], heals them all and checks the promises. */
    fun run(
        seed: Long,
        spanMillis: Long,
    ): SoakResult =
        FaultCluster(children, directory).use { cluster ->
            prepare(cluster, printProgress)
            val plan = soakPlan(seed, spanMillis, cluster.nodes.size)
            var observed = ""
            plan.forEach { printProgress("seed $seed: $it") }
            val watch = VersionWatch(cluster.operators, cluster.nodes.take(WATCHED_NODES))
            val load = LoadGenerator(callers(cluster), ROUTES, CALLS_PER_SECOND, idPrefix = "soak-$seed")
            val operator = SoakOperator(cluster, seed)
            watch.start()
            load.start()
            operator.start()
            val playFailure = brokenPromise { play(cluster, plan) }
            // A node that was paused when a cut ended still drops the messages of the other domain.
            bestEffort { joinDomains(cluster) }
            operator.stop()
            load.stop()
            val failure = playFailure ?: brokenPromise { observed = verify(cluster, load, operator, watch) }
            watch.close()
            SoakResult(seed, failure == null, failure ?: observed)
        }

    /** Returns the message of the [PromiseBroken] that [check] throws, or null. */
    private fun brokenPromise(check: () -> Unit): String? =
        try {
            check()
            null
        } catch (e: PromiseBroken) {
            e.message
        }

    private fun callers(cluster: FaultCluster) = cluster.nodes.map { it.settings.addresses.callers }

    private fun play(
        cluster: FaultCluster,
        plan: List<SoakStep>,
    ) {
        val names = cluster.nodes.map { it.settings.node }
        val nodeOf = { step: SoakStep -> cluster.nodes.first { it.settings.node == names[step.node] } }
        val start = System.currentTimeMillis()
        plan
            .flatMap {
                listOf(
                    it.startMillis to { begin(cluster, it, nodeOf(it)) },
                    it.endMillis to { end(cluster, it, nodeOf(it)) },
                )
            }.sortedBy { it.first }
            .forEach { (atMillis, action) ->
                val waitMillis = start + atMillis - System.currentTimeMillis()
                if (waitMillis > 0) Thread.sleep(waitMillis)
                action()
            }
    }

    private fun begin(
        cluster: FaultCluster,
        step: SoakStep,
        node: DemoNode,
    ) {
        if (step.fault == SoakFault.PLANNED_STOP) recordIfStarting(cluster, node)
        play(step) { step.fault.begin(cluster, node) }
    }

    private fun end(
        cluster: FaultCluster,
        step: SoakStep,
        node: DemoNode,
    ) {
        if (step.fault == SoakFault.PLANNED_STOP) awaitStop(node)
        play(step) { step.fault.end(cluster, node) }
    }

    private fun play(
        step: SoakStep,
        action: () -> Unit,
    ) = if (step.fault == SoakFault.CUT_DOMAINS) bestEffort(action) else action()

    /** A node that is still starting has no calls to finish and no shutdown hook yet, so SIGTERM itself may end it. */
    private fun recordIfStarting(
        cluster: FaultCluster,
        node: DemoNode,
    ) {
        if (cluster.status(node) == null) startingPids += node.child.process.pid()
    }

    private fun awaitStop(node: DemoNode) {
        val process = node.child.process
        if (!process.waitFor(STOP_SECONDS, TimeUnit.SECONDS)) throw PromiseBroken("${node.settings.node} did not stop")
        val exit = process.exitValue()
        val isEndedBySignal = exit == ENDED_BY_SIGTERM && process.pid() in startingPids
        if (exit != 0 && !isEndedBySignal) throw PromiseBroken("${node.settings.node} stopped with $exit")
    }

    /**
     * Logs a failure of [order] instead of throwing: nodes that are down or paused cannot respond, and a restart clears
     * their faults.
     */
    private fun bestEffort(order: () -> Unit) {
        runCatching(order).onFailure { printProgress("not all nodes were told: ${it.message}") }
    }

    private fun verify(
        cluster: FaultCluster,
        load: LoadGenerator,
        operator: SoakOperator,
        watch: VersionWatch,
    ): String {
        bestEffort { joinDomains(cluster) }
        val agrees = cluster.awaitAgreement(System.currentTimeMillis() + AGREEMENT_MILLIS)
        if (!agrees) throw PromiseBroken("the nodes did not agree within $AGREEMENT_MILLIS ms after the last fault")
        if (watch.stepsBack.isNotEmpty()) throw PromiseBroken("went back: ${watch.stepsBack}")
        val published = operator.verify(cluster.status(cluster.healthy.first())?.version)
        return verifyCalls(load.records, executions(cluster)) + ", $published"
    }

    private companion object {
        const val ENDED_BY_SIGTERM = 143
        val ROUTES =
            listOf(
                LoadRoute("/s/look", "s", 60),
                LoadRoute("/once/keyed", "s", 20, isAtMostOnce = true, hasKey = true),
                LoadRoute("/once/plain", "s", 20, isAtMostOnce = true),
            )
    }
}
