package dev.baobabhollow.cli

import dev.baobabhollow.node.OperatorJson
import kotlinx.cli.ArgType
import kotlinx.cli.default
import kotlinx.cli.required
import java.nio.file.Path
import kotlin.io.path.writeText

private const val MILLIS_PER_MINUTE = 60_000L
private const val SHORT_MINUTES = 5
private const val LONG_MINUTES = 60

/** Prints how fast services burn their error budgets. */
internal class BurnCommand(
    output: Output,
) : Command("burn", "Service-level burn per member, service and route from the nodes' own counters", output) {
    private val node by option(EndpointOption, description = "operator port of a node").required()
    private val json by option(ArgType.Boolean, description = "print JSON").default(false)
    private val html by option(ArgType.String, description = "file for a self-contained HTML page")
    private val short by option(ArgType.Int, description = "short window in minutes").default(SHORT_MINUTES)
    private val long by option(ArgType.Int, description = "long window in minutes, at most 60").default(LONG_MINUTES)

    override fun run(): Int {
        if (short !in 1..long || long > LONG_MINUTES) failUsage("expected 1 <= --short <= --long <= $LONG_MINUTES")
        val collector = BurnCollector(OperatorClient(), short * MILLIS_PER_MINUTE, long * MILLIS_PER_MINUTE)
        val report = collector.collect(node, System.currentTimeMillis())
        print(if (json) OperatorJson.encodeToString(report) else burnText(report))
        html?.let { Path.of(it).writeText(burnPage(report)) }
        return EXIT_DONE
    }
}
