package dev.baobabhollow.cli.faults

import dev.baobabhollow.model.Endpoint
import java.io.IOException
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.ConcurrentHashMap

private const val HOST = "127.0.0.1"

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

    /** Address that takes the place of the log's. */
    val endpoint: Endpoint get() = Endpoint(HOST, server.localPort)

    init {
        daemon("log-relay") { acceptAll() }
    }

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
        tryIo { from.getInputStream().transferTo(to.getOutputStream()) }
        sockets -= from
        from.close()
        to.close()
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
