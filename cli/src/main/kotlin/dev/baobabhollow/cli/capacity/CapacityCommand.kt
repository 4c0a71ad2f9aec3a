package dev.baobabhollow.cli.capacity

import dev.baobabhollow.bench.calls.CallsReport
import dev.baobabhollow.bench.distribution.DistributionOptions
import dev.baobabhollow.bench.distribution.DistributionReport
import dev.baobabhollow.cli.Command
import dev.baobabhollow.cli.EXIT_DONE
import dev.baobabhollow.cli.Output
import dev.baobabhollow.cli.fail
import kotlinx.cli.ArgType
import kotlinx.cli.required
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import java.io.File
import java.io.IOException
import java.util.Locale

/** Computes the cost of each role at the planned size from the output files of the benchmarks. */
internal class CapacityCommand(
    output: Output,
) : Command("capacity", "Costs at the planned size from measured files, as a Markdown table", output) {
    private val distribution by option(
        ArgType.String,
        description = "output of 'bench distribution --json'",
    ).required()
    private val calls by option(ArgType.String, description = "output of 'bench calls --json'").required()

    override fun run(): Int {
        val lines =
            capacityLines(
                read<DistributionReport>(distribution),
                read<CallsReport>(calls),
                DistributionOptions().pauseMillis,
            )
        print(capacityTable(lines))
        return EXIT_DONE
    }

    private inline fun <reified T> read(path: String): T =
        try {
            Json.decodeFromString<T>(File(path).readText())
        } catch (e: IOException) {
            fail("$path: ${e.message}")
        } catch (e: SerializationException) {
            fail("$path is not the output of a bench: ${e.message}")
        }
}

/** Renders [lines] as a Markdown table. */
internal fun capacityTable(lines: List<CapacityLine>): String {
    val titles =
        listOf("Role", "Figure", "At ${PlannedSize.NODES} nodes", "Limit", "Slope per node", "Fit error", "Result")
    val heading = (titles + "Mechanism").joinToString(" | ", "| ", " |")
    val rule = "| --- ".repeat(titles.size + 1) + "|"
    return (listOf(heading, rule) + lines.map(::row)).joinToString("\n")
}

private fun row(line: CapacityLine): String {
    val result = if (line.fits) "fits" else "**does not fit**"
    val cells =
        listOf(
            line.role,
            line.figure,
            number(line.value),
            number(line.limit),
            line.perNode?.let(::number) ?: "-",
            line.fitError?.let(::number) ?: "-",
            result,
            line.mechanism,
        )
    return cells.joinToString(" | ", "| ", " |")
}

private fun number(value: Double): String = String.format(Locale.ROOT, "%.4g", value)
