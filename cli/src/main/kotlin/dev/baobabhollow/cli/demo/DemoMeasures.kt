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

/** Reads measurements from the nodes and targets of a demo. */
internal class DemoMeasures(
    private val operators: OperatorClient,
    private val nodes: List<DemoNode>,
) {
    /**
     * Returns the time from the append of [verdict]'s patch until all nodes routed by it, or null if one does not yet.
     */
    fun convergenceMillis(verdict: PatchVerdict): Long? {
        val version = (verdict.result as PatchResult.Accepted).version
        val times =
            nodes.map { node ->
                val inForce = operators.versions(node.operator).get()?.inForce ?: return null
                inForce.firstOrNull { it.version >= version }?.sinceMillis ?: return null
            }
        return times.max() - verdict.appendedAtMillis
    }

    /** Returns the control payload bytes that each node has sent and received so far. */
    fun controlBytes(): Map<DemoNode, Double> =
        nodes.associateWith { node ->
            val text = operators.text(node.operator, "/metrics").get().orEmpty()
            text.lineSequence().filter { it.startsWith(CONTROL_BYTES) }.sumOf { it.substringAfterLast(' ').toDouble() }
        }

    /** Returns the call statistics of the target at [target]. */
    fun targetStats(target: Endpoint): TargetStats =
        OperatorJson.decodeFromString(operators.text(target, "/stats").get() ?: error("no response from $target"))

    private companion object {
        const val CONTROL_BYTES = "baobabhollow_control_bytes_total"
    }
}

/** Polls the version and offset of every node and records each decrease. */
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

    /** Descriptions of the decreases observed so far. */
    val stepsBack = ConcurrentLinkedQueue<String>()

    /** Number of status responses read so far, over all nodes. */
    @Volatile
    var polls = 0
        private set

    fun start() {
        thread.scheduleWithFixedDelay({ nodes.forEach(::poll) }, 0, PERIOD_MILLIS, TimeUnit.MILLISECONDS)
    }

    override fun close() {
        thread.shutdownNow()
    }

    private fun poll(node: DemoNode) {
        val status = operators.status(node.operator).get() ?: return
        polls++
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
