package dev.baobabhollow.cli

import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import com.github.michaelbull.result.getOrElse
import dev.baobabhollow.model.Endpoint
import dev.baobabhollow.model.NodeRecord
import dev.baobabhollow.model.NodeStatus

/** Says which live nodes route by a version and why the [missing] ones do not count. */
internal data class InForce(
    val nodes: List<NodeRecord>,
    val missing: Map<NodeRecord, String>,
)

/** Waits until a version is in force on every live node that [node] knows. */
internal class InForceWait(
    private val operators: OperatorClient,
    private val node: Endpoint,
    private val nowMillis: () -> Long = System::currentTimeMillis,
) {
    /** Returns when [version] or a later one is in force everywhere, or at [deadlineMillis] with the missing nodes. */
    fun await(
        version: Long,
        deadlineMillis: Long,
    ): InForce {
        while (true) {
            val seen = look(version)
            if (seen.missing.isEmpty() || nowMillis() >= deadlineMillis) return seen
            Thread.sleep(POLL_MILLIS)
        }
    }

    private fun look(version: Long): InForce {
        val known = operators.nodes(node).getOrElse { fail(it.toString()) }.nodes
        val live = known.filter { it.status == NodeStatus.ALIVE || it.status == NodeStatus.SUSPECT }
        val missing = live.mapNotNull { record -> lacks(record, version)?.let { record to it } }
        return InForce(live, missing.toMap())
    }

    private fun lacks(
        record: NodeRecord,
        version: Long,
    ): String? {
        val status = operators.status(record.operatorEndpoint)
        val has = status.get()?.version ?: return status.getError().toString()
        return if (has >= version) null else "has version $has"
    }

    private companion object {
        const val POLL_MILLIS = 100L
    }
}
