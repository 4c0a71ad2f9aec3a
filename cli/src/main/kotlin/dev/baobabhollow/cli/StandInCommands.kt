package dev.baobabhollow.cli

import dev.baobabhollow.standins.LogFaults
import dev.baobabhollow.standins.StandInLogOptions
import dev.baobabhollow.standins.StandInTargetOptions
import dev.baobabhollow.standins.runStandInLog
import dev.baobabhollow.standins.runStandInTarget
import kotlinx.cli.ArgType
import kotlinx.cli.default
import kotlinx.serialization.KSerializer
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json

private const val OPTIONS_HELP = "options as JSON; the other flags replace single ones"

/** Runs a stand-in for the platform log. */
internal class StandInLogCommand(
    output: Output,
) : Command("log", "Runs a stand-in for the platform log until it is stopped", output) {
    private val options by option(ArgType.String, description = OPTIONS_HELP)
    private val port by option(ArgType.Int, description = "port; 0 means any free one")
    private val retention by option(LongOption, description = "retention in milliseconds")
    private val appends by option(ArgType.Int, description = "append requests per second")

    override fun run(): Int {
        val given = options?.let { parse(StandInLogOptions.serializer(), it) } ?: StandInLogOptions()
        val faults: LogFaults =
            given.faults.copy(
                retentionMillis = retention ?: given.faults.retentionMillis,
                appendsPerSecond = appends ?: given.faults.appendsPerSecond,
            )
        runStandInLog(given.copy(port = port ?: given.port, faults = faults), output.out)
        return EXIT_DONE
    }
}

/** Runs a stand-in for a target. */
internal class StandInTargetCommand(
    output: Output,
) : Command("target", "Runs a stand-in for a target until it is stopped", output) {
    private val options by option(ArgType.String, description = OPTIONS_HELP)
    private val port by option(ArgType.Int, description = "port; 0 means any free one")
    private val service by option(ArgType.String, description = "service")
    private val release by option(ArgType.String, description = "release")
    private val errors by option(ArgType.Int, description = "share of calls that fail, in permille").default(0)

    override fun run(): Int {
        val given = options?.let { parse(StandInTargetOptions.serializer(), it) } ?: StandInTargetOptions()
        val faults = if (errors > 0) given.faults.copy(errorPermille = errors) else given.faults
        runStandInTarget(
            given.copy(
                port = port ?: given.port,
                service = service ?: given.service,
                release = release ?: given.release,
                faults = faults,
            ),
            output.out,
        )
        return EXIT_DONE
    }
}

private fun <T> parse(
    serializer: KSerializer<T>,
    text: String,
): T =
    try {
        Json.decodeFromString(serializer, text)
    } catch (e: SerializationException) {
        failUsage("--options: ${e.message}")
    }
