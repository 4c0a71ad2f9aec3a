package dev.baobabhollow.standins

import java.io.IOException
import java.net.DatagramSocket
import java.net.InetSocketAddress
import java.net.ServerSocket
import kotlin.random.Random

/**
 * Finds free loopback ports. They lie below the ephemeral port range of Linux, so that no outgoing connection can take
 * a port between the check and its use.
 */
class FreePorts(
    private val random: Random = Random(ProcessHandle.current().pid()),
) {
    private val returned = HashSet<Int>()

    /** Returns a port that is free for TCP and UDP and that this instance has not returned before. */
    fun next(): Int {
        repeat(MAX_TRIES) {
            val port = random.nextInt(FIRST_PORT, LAST_PORT)
            if (isFree(port) && returned.add(port)) return port
        }
        error("no free port found in $MAX_TRIES tries")
    }

    private fun isFree(port: Int): Boolean {
        val address = InetSocketAddress("127.0.0.1", port)
        return try {
            ServerSocket().use { it.bind(address) }
            DatagramSocket(address).close()
            true
        } catch (_: IOException) {
            false
        }
    }

    private companion object {
        const val FIRST_PORT = 10_000
        const val LAST_PORT = 32_000
        const val MAX_TRIES = 1_000
    }
}
