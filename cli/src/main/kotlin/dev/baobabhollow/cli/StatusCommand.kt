package dev.baobabhollow.cli

import com.github.michaelbull.result.fold
import com.github.michaelbull.result.getOrElse
import dev.baobabhollow.model.NodeRecord
import dev.baobabhollow.model.NodeStatus
import dev.baobabhollow.node.OperatorJson
import dev.baobabhollow.node.StatusDocument
import kotlinx.cli.ArgType
import kotlinx.cli.default
import kotlinx.cli.required
import kotlinx.serialization.Serializable

/** One node in the output of `status --json`; [status] is null if the node is dead or did not respond. */
@Serializable
internal data class NodeLine(
    val record: NodeRecord,
    val status: StatusDocument? = null,
    val error: String? = null,
)

/** Prints all nodes that one node lists, with their version and readiness. */
internal class StatusCommand(
    output: Output,
) : Command("status", "Shows every node that one node knows, with its version and readiness", output) {
    private val node by option(EndpointOption, description = "operator port of a node").required()
    private val json by option(ArgType.Boolean, description = "print JSON").default(false)

    override fun run(): Int {
        val operators = OperatorClient()
        val nodes = operators.nodes(node).getOrElse { fail(it.toString()) }.nodes
        val lines = nodes.sortedBy { it.node }.map { queryNode(operators, it) }
        print(if (json) OperatorJson.encodeToString(lines) else table(HEADINGS, lines.map(::cells)))
        return EXIT_DONE
    }

    private fun queryNode(
        operators: OperatorClient,
        record: NodeRecord,
    ): NodeLine {
        if (record.status == NodeStatus.DEAD) return NodeLine(record, error = "dead")
        return operators.status(record.operatorEndpoint).fold(
            success = { NodeLine(record, it) },
            failure = { NodeLine(record, error = it.toString()) },
        )
    }

    private fun cells(line: NodeLine): List<String> {
        val target = line.record.target
        return listOf(
            line.record.node.value,
            line.record.failureDomain.value,
            line.record.status.name
                .lowercase(),
            line.status?.ready?.let { if (it) "ready" else "not ready" } ?: "no answer",
            line.status?.version?.toString() ?: "-",
            target?.let { "${it.service}@${it.release}" } ?: "-",
            target?.status?.name?.lowercase() ?: "-",
            line.record.operatorEndpoint.toString(),
        )
    }

    private companion object {
        val HEADINGS =
            listOf("NODE", "DOMAIN", "STATUS", "READY", "VERSION", "TARGET", "TARGET STATUS", "OPERATOR PORT")
    }
}
