package dev.baobabhollow.peers

import dev.baobabhollow.membership.MembershipSettings
import dev.baobabhollow.model.Endpoint

/**
 * Sets addresses, times (milliseconds) and sizes of the control plane.
 *
 * [seeds] are control endpoints of other nodes, by preference some in each failure domain.
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
    /** Spreads the pulls of nodes that learn at the same moment that they are behind; a push usually comes first. */
    val pullJitterMillis: Long = 200,
    val transfersPerSecond: Int = 8,
    /** Silence of all peers after which a node reads the log although it is not a reader of its domain. */
    val peerSilenceMillis: Long = 5_000,
    /** Time that a starting node gives its peers before it turns to the log. */
    val startGraceMillis: Long = 1_500,
    /** Longest wait of a read by the second log reader of a domain. */
    val longPollMillis: Long = 10_000,
    /** Longest wait of a read by a node that others or it alone depend on; with its answer's time, the longest time lost. */
    val shortPollMillis: Long = 2_000,
    val maxReadRecords: Int = 256,
    val appendTimeoutMillis: Long = 5_000,
    val maxQueuedAppends: Int = 64,
    val minBackoffMillis: Long = 100,
    val maxBackoffMillis: Long = 10_000,
    val moveDecisionMillis: Long = 500,
    val summaryPeriodMillis: Long = 1_000,
    /** Time after which the next candidate acts on a move when the lead has not. */
    val leadDelayMillis: Long = 5_000,
    /** Time without an answer from any lead after which a node judges by its own outcomes. */
    val leadSilenceMillis: Long = 3_000,
    /**
     * True if new records are announced to peers, which then pull them once, instead of pushed. Suits records of tens of
     * kilobytes, of which every node would otherwise get several copies.
     */
    val announcesRecords: Boolean = false,
    /** False where the log itself keeps the newest record of each key, so that readers need no snapshots. */
    val writesSnapshots: Boolean = true,
)
