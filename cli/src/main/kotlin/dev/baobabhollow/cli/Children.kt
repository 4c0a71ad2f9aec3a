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

/** System property that names the archive of classes that `bin/baobabhollow` has made. */
internal const val CLASS_ARCHIVE_PROPERTY = "baobabhollow.classArchive"

/** Is a command that runs in its own process. */
internal class Child(
    val name: String,
    val process: Process,
    private val address: CompletableFuture<Endpoint>,
) {
    /** Waits for the line with which a stand-in prints its address. */
    fun awaitEndpoint(timeoutMillis: Long): Endpoint = address.get(timeoutMillis, TimeUnit.MILLISECONDS)
}

/**
 * Starts commands as separate processes and ends them by their process ids. Each child also ends by itself when this
 * process is gone, so that none is left behind even after SIGKILL. Standard errors go to files in [logDirectory].
 */
internal class Children(
    private val logDirectory: File,
) : AutoCloseable {
    private val children = CopyOnWriteArrayList<Child>()
    private val hook = Thread { endAll() }

    init {
        Runtime.getRuntime().addShutdownHook(hook)
    }

    /** Starts the command [args] with the JVM flags [flags]. */
    fun start(
        name: String,
        flags: List<String>,
        vararg args: String,
    ): Child {
        val java = File(System.getProperty("java.home"), "bin/java").path
        val classPath = System.getProperty("java.class.path")
        val own = listOf("-D$STOP_WITH_PARENT_PROPERTY=true", "-cp", classPath, "dev.baobabhollow.cli.MainKt")
        val process =
            ProcessBuilder(listOf(java) + flags + archiveFlags() + own + args)
                .redirectError(File(logDirectory, "$name.log"))
                .start()
        val address = CompletableFuture<Endpoint>()
        Thread { readOutput(process, address) }.apply { isDaemon = true }.start()
        return Child(name, process, address).also { children += it }
    }

    /** Ends all children and waits for them. */
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
        address.completeExceptionally(IllegalStateException("ended without an address"))
    }

    @Serializable
    private class PrintedAddress(
        val host: String,
        val port: Int,
    )

    internal companion object {
        private const val END_SECONDS = 5L

        /** JVM flags of stand-ins, which need little. */
        val STANDIN_FLAGS = listOf("-Xmx64m", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-Xss512k")

        private fun archiveFlags(): List<String> {
            val archive = System.getProperty(CLASS_ARCHIVE_PROPERTY) ?: return emptyList()
            return listOf("-XX:SharedArchiveFile=$archive", "-Xlog:cds=off")
        }

        /** JVM flags of nodes, the same that `bin/baobabhollow` uses. */
        fun nodeFlags(): List<String> =
            Children::class.java
                .getResource("/node.jvmoptions")!!
                .readText()
                .lines()
                .filter { it.startsWith("-") }
    }
}
