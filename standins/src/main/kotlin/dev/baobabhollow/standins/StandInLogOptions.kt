package dev.baobabhollow.standins

import kotlinx.serialization.Serializable

/** Sets up a [StandInLog]. Port 0 means any free port. */
@Serializable
data class StandInLogOptions(
    val host: String = "127.0.0.1",
    val port: Int = 0,
    val maxBytes: Long = 256L * 1024 * 1024,
    val seed: Long = 1,
    val faults: LogFaults = LogFaults(),
)

/**
 * Sets the faults and limits of a [StandInLog]. `POST /faults` replaces the given fields.
 *
 * Counts ([loseAnswers], [loseRequests], [cutAnswers], [corruptAnswers]) apply to the next so many appends, or to the
 * next so many answers for the last two; permille apply to appends at random.
 *
 * @property outage answers 503 without effect
 * @property hang takes requests and neither executes nor answers them
 * @property slowMillis time to an answer; an append takes effect in the middle of it
 * @property loseAnswers closes the connection after the append took effect
 * @property loseRequests closes the connection before the append takes effect
 * @property cutAnswers sends half of the answer and closes the connection
 * @property corruptAnswers sends an answer that is not JSON
 * @property appendsPerSecond limit of append requests over all streams; 0 refuses all
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

/** Counts what a [StandInLog] has done. Refused appends are those over the rate limit. */
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
