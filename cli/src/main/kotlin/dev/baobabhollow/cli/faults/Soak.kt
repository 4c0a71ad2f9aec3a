package dev.baobabhollow.cli.faults

import dev.baobabhollow.cli.Children
import dev.baobabhollow.cli.demo.DemoNode
import dev.baobabhollow.cli.demo.LoadGenerator
import dev.baobabhollow.cli.demo.LoadRoute
import dev.baobabhollow.cli.demo.VersionWatch
import java.io.File
import java.util.concurrent.TimeUnit

private const val CALLS_PER_SECOND = 60
private const val AGREEMENT_MILLIS = 30_000L

/** Time that a planned stop may take, with a margin; the limit of the nodes is ten seconds. */
private const val STOP_SECONDS = 20L

/** Says whether a soak kept all promises, and what was seen. */
internal data class SoakResult(
    val seed: Long,
    val isHeld: Boolean,
    val seen: String,
)

/**
 * Runs real processes under the faults of [soakPlan], with callers and operators that go on meanwhile, and checks what they
 * and the targets have seen.
 */
internal class Soak(
    private val children: Children,
    private val directory: File,
    private val say: (String) -> Unit,
) {
    /** Processes that were told to stop before they had answered anything. */
    private val startingNodes = HashSet<Long>()

    /** Draws faults from [seed] for [spanMillis], heals them all and judges. */
    fun run(
        seed: Long,
        spanMillis: Long,
    ): SoakResult =
        FaultCluster(children, directory).use { cluster ->
            prepare(cluster, say)
            val plan = soakPlan(seed, spanMillis, cluster.nodes.size)
            var seen = ""
            plan.forEach { say("seed $seed: $it") }
            val watch = VersionWatch(cluster.operators, cluster.nodes.take(WATCHED_NODES))
            val load = LoadGenerator(callers(cluster), ROUTES, CALLS_PER_SECOND, idPrefix = "soak-$seed")
            val operator = SoakOperator(cluster, seed)
            watch.start()
            load.start()
            operator.start()
            val playFailure = brokenStep { play(cluster, plan) }
            // Nodes that were paused when a cut ended have not been told.
            tolerant { joinDomains(cluster) }
            operator.stop()
            load.stop()
            val failure = playFailure ?: brokenStep { seen = judge(cluster, load, operator, watch) }
            watch.close()
            SoakResult(seed, failure == null, failure ?: seen)
        }

    /** Returns which promise [check] found broken, or null. */
    private fun brokenStep(check: () -> Unit): String? =
        try {
            check()
            null
        } catch (e: StepBroken) {
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
                val left = start + atMillis - System.currentTimeMillis()
                if (left > 0) Thread.sleep(left)
                action()
            }
    }

    private fun begin(
        cluster: FaultCluster,
        step: SoakStep,
        node: DemoNode,
    ) {
        if (step.fault == SoakFault.PLANNED_STOP) noteIfStarting(cluster, node)
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
    ) = if (step.fault == SoakFault.CUT_DOMAINS) tolerant(action) else action()

    /** A process that is still starting has nothing to finish, and ends by the signal. */
    private fun noteIfStarting(
        cluster: FaultCluster,
        node: DemoNode,
    ) {
        if (cluster.status(node) == null) startingNodes += node.child.process.pid()
    }

    private fun awaitStop(node: DemoNode) {
        val process = node.child.process
        if (!process.waitFor(STOP_SECONDS, TimeUnit.SECONDS)) throw StepBroken("${node.settings.node} did not stop")
        val exit = process.exitValue()
        val isEndedBySignal = exit == ENDED_BY_SIGTERM && process.pid() in startingNodes
        if (exit != 0 && !isEndedBySignal) throw StepBroken("${node.settings.node} stopped with $exit")
    }

    /** Nodes that are down or paused take no orders; a restarted one drops nothing. */
    private fun tolerant(order: () -> Unit) {
        runCatching(order).onFailure { say("not all nodes were told: ${it.message}") }
    }

    private fun judge(
        cluster: FaultCluster,
        load: LoadGenerator,
        operator: SoakOperator,
        watch: VersionWatch,
    ): String {
        tolerant { joinDomains(cluster) }
        val agrees = cluster.awaitAgreement(System.currentTimeMillis() + AGREEMENT_MILLIS)
        if (!agrees) throw StepBroken("the nodes did not agree within $AGREEMENT_MILLIS ms after the last fault")
        if (watch.stepsBack.isNotEmpty()) throw StepBroken("went back: ${watch.stepsBack}")
        val published = operator.judge(cluster.status(cluster.healthy.first())?.version)
        return judgeCalls(load.records, executions(cluster)) + ", $published"
    }

    private companion object {
        const val ENDED_BY_SIGTERM = 143
        val ROUTES =
            listOf(
                LoadRoute("/s/look", "s", 60),
                LoadRoute("/once/keyed", "s", 20, isOnce = true, hasKey = true),
                LoadRoute("/once/plain", "s", 20, isOnce = true),
            )
    }
}
