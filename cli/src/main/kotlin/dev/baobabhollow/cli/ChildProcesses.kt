package dev.baobabhollow.cli

import dev.baobabhollow.model.Endpoint
import dev.baobabhollow.node.OperatorJson
import kotlinx.serialization.Serializable
import java.io.File
import java.util.concurrent.CompletableFuture
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.TimeUnit

/** System property that makes a command end when the process that started it ends. */
internal const val STOP_WITH_PARENT_PROPERTY = "baobabhollow.stopWithParent"

/** System property with the path of the class data sharing archive that `bin/baobabhollow` created. */
internal const val CLASS_ARCHIVE_PROPERTY = "baobabhollow.classArchive"

/** A command that runs in a process of its own. */
internal class ChildProcess(
    val name: String,
    val process: Process,
    private val address: CompletableFuture<Endpoint>,
) {
    /** Waits until the process, a stand-in, has printed its address. */
    fun awaitEndpoint(timeoutMillis: Long): Endpoint = address.get(timeoutMillis, TimeUnit.MILLISECONDS)
}

/**
 * Starts commands as child processes and terminates them on [close]. Each child also exits by itself when this process
 * is gone, so that none is left running even after SIGKILL. Standard error goes to files in [logDirectory].
 */
internal class ChildProcesses(
    private val logDirectory: File,
) : AutoCloseable {
    private val children = CopyOnWriteArrayList<ChildProcess>()
    private val hook = Thread { endAll() }

    init {
        Runtime.getRuntime().addShutdownHook(hook)
    }

    /** Starts the command line [args] with the JVM flags [flags]; [name] names its log file. */
    fun start(
        name: String,
        flags: List<String>,
        vararg args: String,
    ): ChildProcess {
        val java = File(System.getProperty("java.home"), "bin/java").path
        val classPath = System.getProperty("java.class.path")
        val command = listOf("-D$STOP_WITH_PARENT_PROPERTY=true", "-cp", classPath, "dev.baobabhollow.cli.MainKt")
        val process =
            ProcessBuilder(listOf(java) + flags + archiveFlags() + command + args)
                .redirectError(File(logDirectory, "$name.log"))
                .start()
        val address = CompletableFuture<Endpoint>()
        Thread { readOutput(process, address) }.apply { isDaemon = true }.start()
        return ChildProcess(name, process, address).also { children += it }
    }

    /** Kills all child processes and waits for their exit. */
    override fun close() {
        endAll()
        runCatching { Runtime.getRuntime().removeShutdownHook(hook) }
    }

    private fun endAll() {
        children.forEach { it.process.destroyForcibly() }
        children.forEach { it.process.waitFor(END_SECONDS, TimeUnit.SECONDS) }
    }

    private fun readOutput(
        process: Process,
        address: CompletableFuture<Endpoint>,
    ) {
        process.inputStream.bufferedReader().useLines { lines ->
            lines.forEach { line ->
                val printed = runCatching { OperatorJson.decodeFromString<PrintedAddress>(line) }.getOrNull()
                if (printed != null) address.complete(Endpoint(printed.host, printed.port))
            }
        }
        address.completeExceptionally(IllegalStateException("the process ended before it printed an address"))
    }

    @Serializable
    private class PrintedAddress(
        val host: String,
        val port: Int,
    )

    internal companion object {
        private const val END_SECONDS = 5L

        /** JVM flags of stand-ins, which need little memory. */
        val STANDIN_FLAGS = listOf("-Xmx64m", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-Xss512k")

        private fun archiveFlags(): List<String> {
            val archive = System.getProperty(CLASS_ARCHIVE_PROPERTY) ?: return emptyList()
            return listOf("-XX:SharedArchiveFile=$archive", "-Xlog:cds=off")
        }

        /** Returns the JVM flags of nodes, the same as `bin/baobabhollow` uses. */
        fun nodeFlags(): List<String> =
            ChildProcesses::class.java
                .getResource("/node.jvmoptions")!!
                .readText()
                .lines()
                .filter { it.startsWith("-") }
    }
}
