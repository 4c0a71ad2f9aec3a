package dev.baobabhollow.cli.demo

import com.github.michaelbull.result.get
import dev.baobabhollow.cli.ChildProcesses
import dev.baobabhollow.cli.InForceWait
import dev.baobabhollow.cli.OperatorClient
import dev.baobabhollow.cli.PublishOutcome
import dev.baobabhollow.cli.Publisher
import dev.baobabhollow.cli.fail
import dev.baobabhollow.cli.render
import dev.baobabhollow.model.MoveId
import dev.baobabhollow.model.NodeId
import dev.baobabhollow.model.Patch
import dev.baobabhollow.model.PatchResult
import dev.baobabhollow.model.PatchVerdict
import dev.baobabhollow.node.MoveDocument
import dev.baobabhollow.platformlog.HttpPlatformLog
import java.io.File
import java.util.concurrent.TimeUnit

private const val CALLS_PER_SECOND = 200
private const val STEP_MILLIS = 20_000L
private const val POLL_MILLIS = 50L
private const val MOVE_SLACK_MILLIS = 6_000L
private const val MILLIS_PER_SECOND = 1_000.0

/** Time after which a leaving target must get no new work. */
private const val LEAVE_BOUND_MILLIS = 3_000L

/** Runs the demo once and takes its measurements. Progress goes to [printProgress]. */
internal class DemoRun(
    children: ChildProcesses,
    directory: File,
    private val printProgress: (String) -> Unit,
) {
    private val fleet = DemoFleet(children, directory, DemoPlan.policies)
    private val operators = OperatorClient()
    private val verdicts = mutableListOf<PatchVerdict>()

    fun run(): DemoResult {
        printProgress(
            "starting a platform log, ${DemoPlan.nodes.size} targets and ${DemoPlan.nodes.size} nodes in 2 failure domains",
        )
        val log = fleet.startLog()
        val nodes = fleet.startNodes(DemoPlan.nodes, log)
        awaitFullMembership(nodes)
        return HttpPlatformLog(log).use { client -> run(client, nodes) }
    }

    private fun run(
        log: HttpPlatformLog,
        nodes: List<DemoNode>,
    ): DemoResult {
        val publisher = Publisher(log, operators, nodes.first().operator)
        val measures = DemoMeasures(operators, nodes)
        publishAndAwait(publisher, nodes, 0, "ana", DemoPlan.firstConfiguration)
        val watch = VersionWatch(operators, nodes).apply { start() }
        val load = LoadGenerator(nodes.map { it.settings.addresses.callers }, DemoPlan.load, CALLS_PER_SECOND)
        load.start()
        printProgress("sending $CALLS_PER_SECOND calls/s through the callers' ports of all nodes")
        val bytesBefore = measures.controlBytes()
        val loadStart = System.nanoTime()
        publishAndAwait(publisher, nodes, 1, "ana", DemoPlan.patch)
        val conflictVerdict = publish(publisher, 1, "bruno", DemoPlan.patch)
        val invalidVerdict = publish(publisher, 2, "bruno", DemoPlan.invalidPatch)
        val versionAfterInvalid = operators.status(nodes.last().operator).get()?.version ?: -1
        val movesStart = System.currentTimeMillis()
        publishAndAwait(publisher, nodes, 2, "ana", DemoPlan.moves(movesStart))
        val convergence = verdicts.associate { accepted(it).version to measures.convergenceMillis(it) }
        val bad = awaitMove(nodes, DemoPlan.BAD_MOVE)
        val good = awaitMove(nodes, DemoPlan.GOOD_MOVE)
        val bytesPerSecond = bytesPerSecond(bytesBefore, measures.controlBytes(), loadStart)
        val stop = stop(nodes.first { it.settings.node.value == STOPPED_NODE }, nodes, load, measures)
        load.stop()
        watch.close()
        return DemoResult(
            nodes = nodes.size,
            verdicts = verdicts,
            convergence = convergence,
            invalidVerdict = invalidVerdict,
            conflictVerdict = conflictVerdict,
            winner = "ana",
            versionAfterInvalid = versionAfterInvalid,
            controlBytesPerSecond = bytesPerSecond,
            calls = load.records,
            targets = nodes.associate { it.settings.node to measures.targetStats(it.target) },
            goodMove = good,
            badMove = bad,
            badTargets = badTargets(),
            movesStartedAtMillis = movesStart,
            stop = stop,
            stepsBack = watch.stepsBack.toList(),
            polls = watch.polls,
        )
    }

    private fun badTargets(): Set<NodeId> =
        DemoPlan.nodes
            .filter { it.errorPermille > 0 }
            .map { NodeId(it.name) }
            .toSet()

    private fun awaitFullMembership(nodes: List<DemoNode>) {
        awaitUntil("all nodes know each other") {
            nodes.all { operators.status(it.operator).get()?.liveNodes == nodes.size }
        }
        printProgress("all ${nodes.size} nodes know each other")
    }

    private fun publishAndAwait(
        publisher: Publisher,
        nodes: List<DemoNode>,
        base: Long,
        operator: String,
        patch: Patch,
    ) {
        val verdict = publish(publisher, base, operator, patch)
        val result = verdict.result as? PatchResult.Accepted ?: fail("the patch was not accepted: ${render(verdict)}")
        verdicts += verdict
        val deadline = System.currentTimeMillis() + STEP_MILLIS
        val seen = InForceWait(operators, nodes.first().operator).await(result.version, deadline)
        if (seen.missing.isNotEmpty()) fail("version ${result.version} is not in force on ${seen.missing}")
    }

    private fun publish(
        publisher: Publisher,
        base: Long,
        operator: String,
        patch: Patch,
    ): PatchVerdict {
        val outcome = publisher.publish(base, patch, operator, System.currentTimeMillis() + STEP_MILLIS)
        printProgress("publish by $operator: ${render(outcome)}")
        return (outcome as? PublishOutcome.Judged)?.verdict ?: fail("no verdict: ${render(outcome)}")
    }

    private fun awaitMove(
        nodes: List<DemoNode>,
        move: MoveId,
    ): MoveDocument {
        var last = ""
        var document: MoveDocument? = null
        val deadline = System.currentTimeMillis() + DemoPlan.WATCH_AFTER_MILLIS + MOVE_SLACK_MILLIS
        while (System.currentTimeMillis() < deadline) {
            document = moveOf(nodes.first(), move) ?: continue
            val state = document.state
            val phase = state.phase.name.lowercase()
            val line = "move $move: $phase, share ${state.sharePermille} permille: ${state.reason}"
            if (line != last) printProgress(line)
            last = line
            if (state.phase.isFinal) return document
            Thread.sleep(POLL_MILLIS)
        }
        return document ?: fail("no node knows the move $move")
    }

    private fun moveOf(
        node: DemoNode,
        move: MoveId,
    ): MoveDocument? =
        operators
            .moves(node.operator)
            .get()
            ?.moves
            ?.firstOrNull { it.move == move }

    private fun stop(
        node: DemoNode,
        nodes: List<DemoNode>,
        load: LoadGenerator,
        measures: DemoMeasures,
    ): StopResult {
        printProgress("stopping ${node.settings.node} by SIGTERM while calls run")
        load.entries = nodes.filter { it !== node }.map { it.settings.addresses.callers }
        val start = System.nanoTime()
        node.child.process.destroy()
        val ended = node.child.process.waitFor(STEP_MILLIS, TimeUnit.MILLISECONDS)
        val millis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - start)
        awaitUntil("the bound for leaving targets has passed") {
            System.nanoTime() - start >= TimeUnit.MILLISECONDS.toNanos(LEAVE_BOUND_MILLIS)
        }
        val atBound = measures.targetStats(node.target).executions
        awaitUntil("calls were sent after the bound") {
            System.nanoTime() - start >= TimeUnit.MILLISECONDS.toNanos(LEAVE_BOUND_MILLIS + LEAVE_BOUND_MILLIS / 2)
        }
        val late = measures.targetStats(node.target).executions - atBound
        return StopResult(node.settings.node, if (ended) node.child.process.exitValue() else null, millis, late)
    }

    private fun bytesPerSecond(
        before: Map<DemoNode, Double>,
        after: Map<DemoNode, Double>,
        startNanos: Long,
    ): Map<NodeId, Double> {
        val seconds = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos) / MILLIS_PER_SECOND
        return after.entries.associate { (node, bytes) ->
            node.settings.node to
                (bytes - before.getValue(node)) / seconds
        }
    }

    private fun accepted(verdict: PatchVerdict) = verdict.result as PatchResult.Accepted

    private fun awaitUntil(
        what: String,
        isTrue: () -> Boolean,
    ) {
        val deadline = System.currentTimeMillis() + STEP_MILLIS
        while (!isTrue()) {
            if (System.currentTimeMillis() > deadline) fail("not within ${STEP_MILLIS / MILLIS_PER_SECOND} s: $what")
            Thread.sleep(POLL_MILLIS)
        }
    }

    private companion object {
        /** Its target has the release that the good move rolled out, so it has calls in flight when it stops. */
        const val STOPPED_NODE = "antigua-1-sheets-2"
    }
}
