package dev.baobabhollow.peers

import dev.baobabhollow.membership.MembershipSettings
import dev.baobabhollow.model.Endpoint

/**
 * Addresses, times (in milliseconds) and sizes of the control plane.
 *
 * [seeds] are control endpoints of other nodes, preferably some in each failure domain.
 */
data class ControlPlaneSettings(
    val seeds: List<Endpoint> = emptyList(),
    val membership: MembershipSettings = MembershipSettings(),
    val tickMillis: Long = 50,
    val ringCapacity: Int = 4_096,
    val summaryRingCapacity: Int = 1_024,
    val maxDatagramBytes: Int = 1_200,
    val maxFrameBytes: Int = 8 * 1024 * 1024,
    val maxConnections: Int = 64,
    val maxPendingRequests: Int = 1_024,
    val requestTimeoutMillis: Long = 3_000,
    val pushFanOut: Int = 4,
    /**
     * Longest random delay before a pull, so that nodes that notice together that they are behind don't pull together.
     * A push usually arrives first.
     */
    val pullJitterMillis: Long = 200,
    val transfersPerSecond: Int = 8,
    /** Time without a message from any peer after which a node reads the log even if it is no log reader. */
    val peerSilenceMillis: Long = 5_000,
    /** Time that a starting node waits for a state from its peers before it reads the log. */
    val startGraceMillis: Long = 1_500,
    /** Long-poll timeout of the second log reader of a domain. */
    val longPollMillis: Long = 10_000,
    /** Long-poll timeout of the first log reader and of isolated nodes. Bounds the delay after a lost response. */
    val shortPollMillis: Long = 2_000,
    val maxReadRecords: Int = 256,
    val appendTimeoutMillis: Long = 5_000,
    val maxQueuedAppends: Int = 64,
    val minBackoffMillis: Long = 100,
    val maxBackoffMillis: Long = 10_000,
    val moveDecisionMillis: Long = 500,
    val summaryPeriodMillis: Long = 1_000,
    /** Time after which the substitute acts on a move if the lead has not. */
    val leadDelayMillis: Long = 5_000,
    /** Time without a response from any lead after which a node judges a move by its own outcomes. */
    val leadSilenceMillis: Long = 3_000,
    /**
     * True if new records are announced to peers, which then pull them once. False if they are pushed: then each node
     * receives several copies, which is too expensive for records of tens of kilobytes.
     */
    val announcesRecords: Boolean = false,
    /** False if the log is compacted, that is, keeps the newest record of each key: then readers need no snapshots. */
    val writesSnapshots: Boolean = true,
)
