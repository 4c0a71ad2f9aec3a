package dev.baobabhollow.cli

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.andThen
import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import com.github.michaelbull.result.getOrElse
import dev.baobabhollow.model.ConfigError
import dev.baobabhollow.model.MonotonicClock
import dev.baobabhollow.node.EventLog
import dev.baobabhollow.node.LOG_NODE_PROPERTY
import dev.baobabhollow.node.Node
import dev.baobabhollow.node.NodeSettings
import dev.baobabhollow.node.PlatformKind
import dev.baobabhollow.node.parseSettings
import dev.baobabhollow.platform.ConsortiumPlatform
import dev.baobabhollow.platform.withDeploymentTerms
import kotlinx.cli.ArgType
import kotlinx.cli.required
import org.apache.logging.log4j.Level
import sun.misc.Signal
import java.io.File
import java.io.IOException
import java.util.concurrent.CountDownLatch
import java.util.concurrent.atomic.AtomicBoolean

/** Runs a node until it gets SIGTERM or SIGINT. */
internal class NodeCommand(
    output: Output,
) : Command("node", "Runs a node until SIGTERM, which lets calls in flight finish", output) {
    private val settings by option(ArgType.String, description = "settings file").required()

    override fun run(): Int {
        val parsed =
            parseSettings(readFile(settings)).getOrElse { errors ->
                fail("$settings: ${errors.size} errors\n" + errors.joinToString("\n") { "  $it" })
            }
        System.setProperty(LOG_NODE_PROPERTY, parsed.node.value)
        if (parsed.platform != PlatformKind.OWN) logWithoutBlocking()
        val node = nodeOf(withEnvironment(parsed).getOrElse { fail(it.joinToString("\n")) })
        reloadOnSighup(node)
        try {
            node.start()
        } catch (e: IOException) {
            fail("cannot start the node of $settings: $e")
        }
        stopOnShutdown(node)
        CountDownLatch(1).await()
        return EXIT_DONE
    }

    /** Applies what the platform states in the environment. */
    private fun withEnvironment(settings: NodeSettings): Result<NodeSettings, List<ConfigError>> {
        val limited = withOpenFiles(settings).getOrElse { return Err(listOf(it)) }
        return if (settings.platform == PlatformKind.OWN) Ok(limited) else withDeploymentTerms(limited, System::getenv)
    }

    private fun withOpenFiles(settings: NodeSettings): Result<NodeSettings, ConfigError> {
        val text = System.getenv(OPEN_FILES_VARIABLE)?.ifEmpty { null } ?: return Ok(settings)
        val files = text.toIntOrNull()?.takeIf { it > 0 }
        if (files == null) return Err(ConfigError(OPEN_FILES_VARIABLE, "\"$text\"", "a positive number"))
        return Ok(settings.copy(limits = settings.limits.copy(openFiles = files)))
    }

    private fun logWithoutBlocking() {
        System.setProperty("baobabhollow.logTarget", "SYSTEM_OUT")
        System.setProperty("baobabhollow.logAppender", "queue")
    }

    private fun nodeOf(settings: NodeSettings): Node {
        if (settings.platform == PlatformKind.OWN) return Node(settings)
        val clock = MonotonicClock()
        return Node(settings, clock, adapter = ConsortiumPlatform(settings.platformLog, clock))
    }

    /**
     * Reloads the settings on SIGHUP, which would end the JVM by default, also while [node] starts. Settings with errors
     * change nothing.
     */
    private fun reloadOnSighup(node: Node) =
        Signal.handle(Signal("HUP")) {
            val text = runCatching { File(settings).readText() }
            val parsed = text.map { parseSettings(it).andThen(::withEnvironment) }
            val next = parsed.getOrNull()?.get()
            if (next != null) {
                node.reload(next)
            } else {
                val errors = text.exceptionOrNull() ?: parsed.getOrNull()?.getError()
                EventLog.write("settings_rejected", "file" to settings, "errors" to errors, level = Level.WARN)
            }
        }

    /** Exits with code 0 after a graceful stop; by default the JVM's exit code would report the signal. */
    private fun stopOnShutdown(node: Node) {
        val stopped = AtomicBoolean()
        val hook = {
            val cutOffCalls = if (stopped.compareAndSet(false, true)) node.stop() else 0
            Runtime.getRuntime().halt(if (cutOffCalls == 0) EXIT_DONE else EXIT_FAILED)
        }
        Runtime.getRuntime().addShutdownHook(Thread(hook, "stop"))
    }

    private companion object {
        const val OPEN_FILES_VARIABLE = "BAOBABHOLLOW_OPEN_FILES"
    }
}
