package dev.baobabhollow.cli.demo

import com.github.michaelbull.result.get
import dev.baobabhollow.cli.OperatorClient
import dev.baobabhollow.model.Endpoint
import dev.baobabhollow.model.PatchResult
import dev.baobabhollow.model.PatchVerdict
import dev.baobabhollow.node.OperatorJson
import dev.baobabhollow.standins.TargetStats
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit

/** Reads measured values from the nodes and targets of a demo. */
internal class DemoMeasures(
    private val operators: OperatorClient,
    private val nodes: List<DemoNode>,
) {
    /** Returns the time from the append of [verdict]'s patch until the last node routed by it, or null if one does not. */
    fun convergenceMillis(verdict: PatchVerdict): Long? {
        val version = (verdict.result as PatchResult.Accepted).version
        val times =
            nodes.map { node ->
                val known = operators.versions(node.operator).get()?.inForce ?: return null
                known.firstOrNull { it.version >= version }?.sinceMillis ?: return null
            }
        return times.max() - verdict.appendedAtMillis
    }

    /** Returns the control payload bytes that each node has sent and received so far. */
    fun controlBytes(): Map<DemoNode, Double> =
        nodes.associateWith { node ->
            val text = operators.text(node.operator, "/metrics").get().orEmpty()
            text.lineSequence().filter { it.startsWith(CONTROL_BYTES) }.sumOf { it.substringAfterLast(' ').toDouble() }
        }

    /** Returns the counts of the target at [target]. */
    fun targetStats(target: Endpoint): TargetStats =
        OperatorJson.decodeFromString(operators.text(target, "/stats").get() ?: error("no answer of target $target"))

    private companion object {
        const val CONTROL_BYTES = "baobabhollow_control_bytes_total"
    }
}

/** Looks at the version of every node again and again and notes each step back. */
internal class VersionWatch(
    private val operators: OperatorClient,
    private val nodes: List<DemoNode>,
) : AutoCloseable {
    private val highest = ConcurrentHashMap<DemoNode, Pair<Long, Long>>()
    private val thread =
        Executors.newSingleThreadScheduledExecutor {
            Thread(it, "version-watch").apply {
                isDaemon =
                    true
            }
        }

    /** Describes each step back that was seen. */
    val stepsBack = ConcurrentLinkedQueue<String>()

    /** Number of looks at a node. */
    @Volatile
    var looks = 0
        private set

    fun start() {
        thread.scheduleWithFixedDelay({ nodes.forEach(::look) }, 0, PERIOD_MILLIS, TimeUnit.MILLISECONDS)
    }

    override fun close() {
        thread.shutdownNow()
    }

    private fun look(node: DemoNode) {
        val status = operators.status(node.operator).get() ?: return
        looks++
        val (version, offset) = highest[node] ?: (0L to -1L)
        if (status.version < version || status.offset < offset) {
            stepsBack += "${status.node} from version $version to ${status.version}"
        }
        highest[node] = maxOf(version, status.version) to maxOf(offset, status.offset)
    }

    private companion object {
        const val PERIOD_MILLIS = 200L
    }
}
