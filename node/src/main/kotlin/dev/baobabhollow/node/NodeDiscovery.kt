package dev.baobabhollow.node

import com.github.michaelbull.result.fold
import dev.baobabhollow.model.Endpoint
import dev.baobabhollow.model.LogError
import dev.baobabhollow.model.NodeId
import org.apache.logging.log4j.Level
import kotlin.random.Random

/**
 * Registers the node in [directory] and joins the listed nodes, on its own thread. Once the node knows others, gossip
 * membership maintains the list without the platform. While it knows fewer nodes than are listed, it reads the list
 * again, and also in each later era of the store, which the directory or [stateEra] tells: the store may have lost the
 * registration.
 */
internal class NodeDiscovery(
    private val directory: NodeDirectory,
    private val self: NodeId,
    private val endpoint: Endpoint,
    private val knownNodes: () -> Set<NodeId>,
    private val join: (List<Endpoint>) -> Boolean,
    private val stateEra: () -> Long,
) : AutoCloseable {
    private val thread = Thread(::run, "directory").apply { isDaemon = true }

    @Volatile
    private var isStopped = false
    private var isListed = false
    private var listedEra = 0L
    private var isFailing = false

    fun start() = thread.start()

    override fun close() {
        isStopped = true
        thread.interrupt()
    }

    private fun run() {
        var pauseMillis = FIRST_PAUSE_MILLIS
        try {
            while (!isStopped) {
                val isComplete = refresh()
                pauseMillis = if (isComplete) STEADY_PAUSE_MILLIS else nextPause(pauseMillis)
                Thread.sleep(pauseMillis / 2 + Random.nextLong(pauseMillis))
            }
        } catch (_: InterruptedException) {
            return
        }
    }

    private fun nextPause(pauseMillis: Long) =
        if (pauseMillis >= STEADY_PAUSE_MILLIS) FIRST_PAUSE_MILLIS else minOf(pauseMillis * 2, MAX_PAUSE_MILLIS)

    /** Returns true if the node is listed and knows all listed nodes. */
    private fun refresh(): Boolean {
        val era = maxOf(directory.era, stateEra())
        if (isListed && era > listedEra) {
            EventLog.write("directory_checked_again", "era" to era, "era_before" to listedEra)
            isListed = false
        }
        // Membership needs no list as long as it has contact with other nodes.
        if (isListed && knownNodes().size > GOSSIP_SUFFICIENT_NODES) return true
        return directory.nodes().fold(success = { mergeListed(it, era) }, failure = { logFailure("read", it) })
    }

    private fun mergeListed(
        listed: Map<NodeId, Endpoint>,
        era: Long,
    ): Boolean {
        listedEra = era
        if (isFailing) EventLog.write("directory_regained", "listed" to listed.size)
        isFailing = false
        val known = knownNodes()
        val unknown = (listed - self).filterKeys { it !in known }.values
        if (unknown.isNotEmpty()) join(unknown.shuffled().take(MAX_CONTACTS))
        val wasListed = isListed
        if (listed[self] == endpoint) isListed = true
        if (!isListed) isListed = directory.announce(self, endpoint).fold({ true }, { logFailure("announce", it) })
        // Other nodes may have registered at the same moment, so a node that has just registered reads the list once
        // more.
        return wasListed && unknown.isEmpty()
    }

    private fun logFailure(
        call: String,
        error: LogError,
    ): Boolean {
        if (!isFailing) EventLog.write("directory_lost", "call" to call, "error" to error, level = Level.WARN)
        isFailing = true
        return false
    }

    private companion object {
        /** All nodes of a fleet start within a third of a second, so most are listed after this pause. */
        const val FIRST_PAUSE_MILLIS = 500L
        const val MAX_PAUSE_MILLIS = 4_000L

        /** Average polling interval of a partitioned node, which finds no nodes but itself. */
        const val STEADY_PAUSE_MILLIS = 10_000L

        /** If more nodes than this are known, including the node itself, membership alone finds the others. */
        const val GOSSIP_SUFFICIENT_NODES = 2
        const val MAX_CONTACTS = 16
    }
}
