package dev.baobabhollow.model

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * Client of the platform's append-only log. All functions block, so each task that uses the log needs its own thread.
 */
interface PlatformLog {
    /**
     * Appends [records] in order and gives up at [deadlineMillis] (epoch milliseconds).
     *
     * After [LogError.OutcomeUnknown] the records may or may not be in the log; retry with the same records.
     */
    fun append(
        stream: StreamName,
        records: List<LogRecord>,
        deadlineMillis: Long,
    ): Result<AppendReceipt, LogError>

    /**
     * Reads at most [maxRecords] records with offsets above [afterOffset]. If there are none, waits for one until
     * [waitUntilMillis] (epoch milliseconds) and then returns an empty batch.
     */
    fun read(
        stream: StreamName,
        afterOffset: Long,
        maxRecords: Int,
        waitUntilMillis: Long,
    ): Result<LogBatch, LogError>

    /**
     * Reads, without waiting, at most [maxRecords] records with offsets above [afterOffset], omitting superseded ones.
     * A log that is compacted by key returns only the newest record of each key, so that a reader that is far behind
     * need not read the superseded records. Other logs return the same as [read].
     */
    fun readNewest(
        stream: StreamName,
        afterOffset: Long,
        maxRecords: Int,
    ): Result<LogBatch, LogError> = read(stream, afterOffset, maxRecords, waitUntilMillis = 0)

    /**
     * Returns the stages of ordered moves, those started by a [MoveOrderRecord], which are stored outside the streams.
     * Empty if the log has no ordered moves.
     */
    fun orderedStages(): Result<List<OrderedStage>, LogError> = Ok(emptyList())

    /**
     * Stores [stage] unless the move already has a final stage, and returns the stage that is stored afterwards. Fails
     * with [LogError.Unavailable] if the log has no ordered moves. Gives up at [deadlineMillis] (epoch milliseconds).
     */
    fun storeStage(
        stage: OrderedStage,
        deadlineMillis: Long,
    ): Result<OrderedStage, LogError> = Err(LogError.Unavailable("this log has no ordered moves"))
}

/**
 * Current stage of [move], which a [MoveOrderRecord] started, of [service] to release [to]. [startedAtMillis] and
 * [completeByMillis] are epoch milliseconds by the clock of the node that saw the order first.
 */
@Serializable
data class OrderedStage(
    @SerialName("m") val move: MoveId,
    @SerialName("v") val service: ServiceId,
    @SerialName("t") val to: ReleaseId,
    @SerialName("n") val stage: Int,
    @SerialName("p") val phase: MovePhase,
    @SerialName("s") val sharePermille: Int,
    @SerialName("b") val startedAtMillis: Long,
    @SerialName("e") val completeByMillis: Long,
    @SerialName("r") val reason: String = "",
)

/** Offsets of the appended records, in the order of the records, and the platform's time of the append. */
@Serializable
data class AppendReceipt(
    val offsets: List<Long>,
    val appendedAtMillis: Long,
)

/**
 * Entries in ascending order of their offsets. [earliestOffset] is the first offset that the log still keeps,
 * [nextOffset] the offset of the next append, and [retentionMillis] the time for which the log keeps records. [era]
 * increases by one each time the log returns from an older copy; it is 0 for logs that never do.
 */
@Serializable
data class LogBatch(
    val entries: List<LogEntry>,
    val earliestOffset: Long,
    val nextOffset: Long,
    val retentionMillis: Long,
    val era: Long = 0,
)

/** Reason why an operation of the platform log failed. */
sealed interface LogError {
    /** The log did not accept the request; it had no effect. */
    data class Unavailable(
        val reason: String,
    ) : LogError

    /** No complete response arrived; an append may have taken effect. */
    data class OutcomeUnknown(
        val reason: String,
    ) : LogError

    /** The log accepts no more appends before [retryAtMillis]; the request had no effect. */
    data class RateLimited(
        val retryAtMillis: Long,
    ) : LogError

    /** Records after the requested offset have expired; the log starts at [earliestOffset]. */
    data class Trimmed(
        val earliestOffset: Long,
    ) : LogError

    /** The response could not be decoded. */
    data class Malformed(
        val reason: String,
    ) : LogError
}
