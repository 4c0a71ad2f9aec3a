package dev.baobabhollow.cli.faults

import dev.baobabhollow.model.Endpoint
import java.io.IOException
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.ConcurrentHashMap

private const val HOST = "127.0.0.1"
private const val BUFFER_BYTES = 65_536
private const val SILENCE_CHECK_MILLIS = 50L

/** TCP relay in front of the platform log at [log]; injects network faults for the nodes that connect through it. */
internal class LogRelay(
    private val log: Endpoint,
) : AutoCloseable {
    private val server = ServerSocket(0, 0, InetAddress.getByName(HOST))
    private val sockets = ConcurrentHashMap.newKeySet<Socket>()

    /** Closes all connections when set, and accepts no new ones while it is set. */
    @Volatile
    var isCut = false
        set(value) {
            field = value
            if (value) closeSockets()
        }

    /** While set, forwards nothing but keeps the connections open, as a network does that drops all packets. */
    @Volatile
    var isSilent = false

    /** Delay in milliseconds that is added to each chunk of bytes. */
    @Volatile
    var delayMillis = 0L

    /** Address that nodes use instead of that of the log. */
    val endpoint: Endpoint get() = Endpoint(HOST, server.localPort)

    init {
        daemon("log-relay") { acceptAll() }
    }

    /** Closes all connections but accepts new ones. */
    fun reset() = closeSockets()

    override fun close() {
        server.close()
        closeSockets()
    }

    private fun acceptAll() {
        while (!server.isClosed) {
            val client = tryIo { server.accept() } ?: continue
            if (isCut) client.close() else connect(client)
        }
    }

    private fun connect(client: Socket) {
        val upstream = tryIo { Socket(log.host, log.port) } ?: return client.close()
        sockets += client
        sockets += upstream
        daemon("log-relay-up") { copy(client, upstream) }
        daemon("log-relay-down") { copy(upstream, client) }
    }

    private fun copy(
        from: Socket,
        to: Socket,
    ) {
        tryIo { copyBytes(from, to) }
        sockets -= from
        from.close()
        to.close()
    }

    private fun copyBytes(
        from: Socket,
        to: Socket,
    ) {
        val buffer = ByteArray(BUFFER_BYTES)
        while (true) {
            val count = from.getInputStream().read(buffer)
            if (count < 0) return
            if (delayMillis > 0) Thread.sleep(delayMillis)
            // The connection ends after a silence, because the bytes just read are lost.
            if (isSilent) return awaitSilenceEnd()
            to.getOutputStream().write(buffer, 0, count)
        }
    }

    private fun awaitSilenceEnd() {
        while (isSilent) Thread.sleep(SILENCE_CHECK_MILLIS)
    }

    private fun closeSockets() = sockets.toList().forEach { it.close() }

    private fun daemon(
        name: String,
        run: () -> Unit,
    ) = Thread(run, name).apply { isDaemon = true }.start()

    private fun <T> tryIo(action: () -> T): T? =
        try {
            action()
        } catch (_: IOException) {
            null
        }
}
