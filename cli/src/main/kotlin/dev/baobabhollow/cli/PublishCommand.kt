package dev.baobabhollow.cli

import com.github.michaelbull.result.getOrElse
import dev.baobabhollow.model.Patch
import dev.baobabhollow.model.PatchResult
import dev.baobabhollow.node.parsePatch
import dev.baobabhollow.platformlog.HttpPlatformLog
import kotlinx.cli.ArgType
import kotlinx.cli.default
import kotlinx.cli.required

private const val MILLIS_PER_SECOND = 1_000L

/** Publishes a patch and prints its verdict. */
internal class PublishCommand(
    output: Output,
) : Command("publish", "Publishes a patch against a version and prints the verdict", output) {
    private val base by option(LongOption, description = "version that the patch changes").required()
    private val patch by option(ArgType.String, description = "patch file").required()
    private val node by option(EndpointOption, description = "operator port of a node").required()
    private val log by option(EndpointOption, description = "platform log").required()
    private val operator by option(ArgType.String, description = "name in verdicts and reports")
        .default(System.getProperty("user.name") ?: "operator")
    private val wait by option(ArgType.Boolean, description = "wait until every live node routes by the version")
        .default(false)
    private val timeout by option(LongOption, description = "seconds for the append, the verdict and --wait each")
        .default(30)

    override fun run(): Int {
        val changes =
            parsePatch(readFile(patch)).getOrElse { errors ->
                fail("$patch: not published, ${errors.size} errors\n" + errors.joinToString("\n") { "  $it" })
            }
        val outcome = HttpPlatformLog(log).use { publish(it, changes) }
        print(render(outcome))
        val result = (outcome as? PublishOutcome.Judged)?.verdict?.result as? PatchResult.Accepted ?: return EXIT_FAILED
        return if (wait) awaitInForce(result.version) else EXIT_DONE
    }

    private fun publish(
        platformLog: HttpPlatformLog,
        changes: Patch,
    ) = Publisher(platformLog, OperatorClient(), node).publish(base, changes, operator, deadlineMillis())

    private fun awaitInForce(version: Long): Int {
        val seen = InForceWait(OperatorClient(), node).await(version, deadlineMillis())
        if (seen.missing.isEmpty()) {
            print("in force: version $version on all ${seen.nodes.size} live nodes")
            return EXIT_DONE
        }
        print("not in force: version $version is missing on ${seen.missing.size} of ${seen.nodes.size} live nodes")
        seen.missing.forEach { (record, reason) -> print("  ${record.node} in ${record.failureDomain}: $reason") }
        return EXIT_FAILED
    }

    private fun deadlineMillis() = System.currentTimeMillis() + timeout * MILLIS_PER_SECOND
}
