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

/** Forwards connections to the platform log at [log], so that the nodes behind it can be cut off from the log. */
internal class LogRelay(
    private val log: Endpoint,
) : AutoCloseable {
    private val server = ServerSocket(0, 0, InetAddress.getByName(HOST))
    private val sockets = ConcurrentHashMap.newKeySet<Socket>()

    /** Closes all connections and takes no new ones while set. */
    @Volatile
    var isCut = false
        set(value) {
            field = value
            if (value) closeSockets()
        }

    /** Passes nothing on and closes nothing while set, as connections do that have gone silent. */
    @Volatile
    var isSilent = false

    /** Time in milliseconds by which each part of a message is late. */
    @Volatile
    var delayMillis = 0L

    /** Address that takes the place of the log's. */
    val endpoint: Endpoint get() = Endpoint(HOST, server.localPort)

    init {
        daemon("log-relay") { acceptAll() }
    }

    /** Closes all connections and takes new ones. */
    fun reset() = closeSockets()

    override fun close() {
        server.close()
        closeSockets()
    }

    private fun acceptAll() {
        while (!server.isClosed) {
            val near = tryIo { server.accept() } ?: continue
            if (isCut) near.close() else connect(near)
        }
    }

    private fun connect(near: Socket) {
        val far = tryIo { Socket(log.host, log.port) } ?: return near.close()
        sockets += near
        sockets += far
        daemon("log-relay-up") { copy(near, far) }
        daemon("log-relay-down") { copy(far, near) }
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
            // What has been held up is lost with its connection.
            if (isSilent) return awaitSound()
            to.getOutputStream().write(buffer, 0, count)
        }
    }

    private fun awaitSound() {
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
