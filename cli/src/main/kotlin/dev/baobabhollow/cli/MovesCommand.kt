package dev.baobabhollow.cli

import com.github.michaelbull.result.getOrElse
import dev.baobabhollow.node.MoveDocument
import dev.baobabhollow.node.OperatorJson
import kotlinx.cli.ArgType
import kotlinx.cli.default
import kotlinx.cli.required
import java.time.Instant

/** Prints the moves with the reason and evidence of their last stage. */
internal class MovesCommand(
    output: Output,
) : Command("moves", "Shows running and finished moves with the reason and evidence of their last stage", output) {
    private val node by option(EndpointOption, description = "operator port of a node").required()
    private val json by option(ArgType.Boolean, description = "print JSON").default(false)

    override fun run(): Int {
        val document = OperatorClient().moves(node).getOrElse { fail(it.toString()) }
        print(if (json) OperatorJson.encodeToString(document) else moveTable(document.moves))
        return EXIT_DONE
    }
}

private val HEADINGS =
    listOf(
        "MOVE",
        "MEMBER",
        "PRIORITY",
        "SERVICE",
        "FROM",
        "TO",
        "PHASE",
        "SHARE",
        "COMPLETE BY",
        "NEW",
        "OLD",
        "REASON",
    )
private const val PERMILLE_PER_PERCENT = 10.0

/** Renders [moves] as a text table. */
internal fun moveTable(moves: List<MoveDocument>): String = table(HEADINGS, moves.map(::cells))

private fun cells(document: MoveDocument): List<String> {
    val state = document.state
    val evidence = state.evidence
    return listOf(
        document.move.value,
        document.member?.value ?: "-",
        document.movePriority?.let(::priorityText) ?: "-",
        state.plan.service.value,
        state.plan.from.value,
        state.plan.to.value,
        state.phase.name.lowercase() + if (document.held) " (held)" else "",
        "${state.sharePermille / PERMILLE_PER_PERCENT}%",
        Instant.ofEpochMilli(state.plan.completeByMillis).toString(),
        "${evidence.newCalls} calls, ${evidence.newErrors} errors",
        "${evidence.oldCalls} calls, ${evidence.oldErrors} errors",
        state.reason,
    )
}
