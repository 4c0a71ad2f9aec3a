package dev.baobabhollow.node

import com.github.michaelbull.result.Result
import dev.baobabhollow.model.Endpoint
import dev.baobabhollow.model.LogError
import dev.baobabhollow.model.NodeId
import dev.baobabhollow.model.PlatformLog
import dev.baobabhollow.platformlog.LogResponse
import dev.baobabhollow.proxy.CallProtocol

/**
 * Connects a node to the platform that it runs on. An adapter only translates names, formats and calls; the node makes
 * all decisions. Implementations must be thread-safe.
 */
interface PlatformAdapter : AutoCloseable {
    /** Log that stores the configuration. */
    val log: PlatformLog

    /** Header protocol of callers and targets. */
    val protocol: CallProtocol

    /** Directory of the nodes that have announced themselves, or null if the settings list seeds instead. */
    val directory: NodeDirectory?

    /** Path of the platform's readiness probe. */
    val readinessPath: String

    /** Parses an announcement of a target, or returns the reason why it can't be parsed. */
    fun readAnnouncement(request: OperatorRequest): Result<TargetMessage, String>

    /** Parses a target's health response. Returns null if the target accepts no calls or does not name itself. */
    fun readHealth(response: LogResponse): DiscoveredTarget?
}

/** Directory on the platform from which a node learns the addresses of other nodes. Calls block. */
interface NodeDirectory {
    /**
     * Latest known era of the platform's store. It increases each time that the store returns from an older copy, which
     * may lack nodes that were added.
     */
    val era: Long get() = 0

    /** Returns the control endpoints of all listed nodes. */
    fun nodes(): Result<Map<NodeId, Endpoint>, LogError>

    /** Adds [node] with its control [endpoint] to the directory. */
    fun announce(
        node: NodeId,
        endpoint: Endpoint,
    ): Result<Unit, LogError>
}
