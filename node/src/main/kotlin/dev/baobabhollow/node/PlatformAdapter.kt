package dev.baobabhollow.node

import com.github.michaelbull.result.Result
import dev.baobabhollow.model.Endpoint
import dev.baobabhollow.model.LogError
import dev.baobabhollow.model.NodeId
import dev.baobabhollow.model.PlatformLog
import dev.baobabhollow.platformlog.LogAnswer
import dev.baobabhollow.proxy.CallProtocol

/**
 * Connects a node with the platform that it runs on. An adapter translates names, formats and calls; all decisions are
 * the node's. Safe for use by several threads.
 */
interface PlatformAdapter : AutoCloseable {
    /** Platform log that holds the configuration. */
    val log: PlatformLog

    /** Headers that callers and targets speak. */
    val protocol: CallProtocol

    /** Lists the nodes that have announced themselves, or null where the settings name seeds. */
    val directory: NodeDirectory?

    /** Path at which the platform asks whether the node is ready. */
    val readinessPath: String

    /** Reads what a target says of itself. */
    fun readAnnouncement(request: OperatorRequest): Result<TargetMessage, String>

    /** Reads what a target says of itself when asked for its health, or null if it takes no calls or does not say enough. */
    fun readHealth(response: LogAnswer): DiscoveredTarget?
}

/** Keeps the addresses of nodes on the platform, for nodes that know no others. Calls block. */
interface NodeDirectory {
    /** Returns the control endpoints of all nodes that are listed. */
    fun nodes(): Result<Map<NodeId, Endpoint>, LogError>

    /** Lists [node] with its control endpoint. */
    fun announce(
        node: NodeId,
        endpoint: Endpoint,
    ): Result<Unit, LogError>
}
