package dev.baobabhollow.cli

import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import com.github.michaelbull.result.getOrElse
import dev.baobabhollow.model.Endpoint
import dev.baobabhollow.model.NodeRecord
import dev.baobabhollow.model.NodeStatus

/** Live [nodes], and for those on which a version is not known to be in force the reason in [missing]. */
internal data class InForceResult(
    val nodes: List<NodeRecord>,
    val missing: Map<NodeRecord, String>,
)

/** Waits until a version is in force on every live node that [node] lists. */
internal class InForceWait(
    private val operators: OperatorClient,
    private val node: Endpoint,
    private val nowMillis: () -> Long = System::currentTimeMillis,
) {
    /** Returns when [version] or a later one is in force everywhere, or at [deadlineMillis] with the missing nodes. */
    fun await(
        version: Long,
        deadlineMillis: Long,
    ): InForceResult {
        while (true) {
            val seen = checkNodes(version)
            if (seen.missing.isEmpty() || nowMillis() >= deadlineMillis) return seen
            Thread.sleep(POLL_MILLIS)
        }
    }

    private fun checkNodes(version: Long): InForceResult {
        val known = operators.nodes(node).getOrElse { fail(it.toString()) }.nodes
        val live = known.filter { it.status == NodeStatus.ALIVE || it.status == NodeStatus.SUSPECT }
        val missing = live.mapNotNull { record -> missingReason(record, version)?.let { record to it } }
        return InForceResult(live, missing.toMap())
    }

    private fun missingReason(
        record: NodeRecord,
        version: Long,
    ): String? {
        val status = operators.status(record.operatorEndpoint)
        val current = status.get()?.version ?: return status.getError().toString()
        return if (current >= version) null else "has version $current"
    }

    private companion object {
        const val POLL_MILLIS = 100L
    }
}
