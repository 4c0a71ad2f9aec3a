package dev.baobabhollow.standins

import kotlinx.serialization.Serializable

/** Options of a [StandInLog]. Port 0 selects any free port. */
@Serializable
data class StandInLogOptions(
    val host: String = "127.0.0.1",
    val port: Int = 0,
    val maxBytes: Long = 256L * 1024 * 1024,
    val seed: Long = 1,
    val faults: LogFaults = LogFaults(),
)

/**
 * Faults and limits of a [StandInLog]. `POST /faults` replaces the fields in its body.
 *
 * [loseAnswers] and [loseRequests] are the number of next appends that are affected, [cutAnswers] and [corruptAnswers]
 * the number of next responses. Permille values affect random appends.
 *
 * @property outage responds with 503 without executing requests
 * @property hang accepts requests but neither executes nor responds to them
 * @property slowMillis response time; an append takes effect after half of it
 * @property loseAnswers closes the connection after the append has taken effect
 * @property loseRequests closes the connection before the append takes effect
 * @property cutAnswers sends half of the response and closes the connection
 * @property corruptAnswers sends a response that is not JSON
 * @property appendsPerSecond rate limit of append requests over all streams; 0 rejects all
 */
@Serializable
data class LogFaults(
    val outage: Boolean = false,
    val hang: Boolean = false,
    val slowMillis: Long = 0,
    val loseAnswers: Int = 0,
    val loseAnswersPermille: Int = 0,
    val loseRequests: Int = 0,
    val loseRequestsPermille: Int = 0,
    val cutAnswers: Int = 0,
    val corruptAnswers: Int = 0,
    val appendsPerSecond: Int = 300,
    val retentionMillis: Long = 3_600_000,
)

/** Request statistics of a [StandInLog]. Refused appends are those above the rate limit. */
@Serializable
data class LogStats(
    val appends: Long = 0,
    val appendedRecords: Long = 0,
    val refusedAppends: Long = 0,
    val reads: Long = 0,
    val readRecords: Long = 0,
    val bytesIn: Long = 0,
    val bytesOut: Long = 0,
) {
    internal operator fun plus(other: LogStats) =
        LogStats(
            appends + other.appends,
            appendedRecords + other.appendedRecords,
            refusedAppends + other.refusedAppends,
            reads + other.reads,
            readRecords + other.readRecords,
            bytesIn + other.bytesIn,
            bytesOut + other.bytesOut,
        )
}

/** Body of `GET /stats` of a [StandInLog]. */
@Serializable
data class LogStatsReport(
    val total: LogStats,
    val streams: Map<String, LogStats>,
    val keptBytes: Long,
    val waitingReads: Int,
)
