package dev.baobabhollow.model

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Appends to and reads from the platform's append-only log. Calls block; use one thread for each duty. */
interface PlatformLog {
    /**
     * Appends [records] in order and gives up at [deadlineMillis] (epoch milliseconds).
     *
     * After [LogError.OutcomeUnknown] the records may or may not be in the log; append the same records again.
     */
    fun append(
        stream: StreamName,
        records: List<LogRecord>,
        deadlineMillis: Long,
    ): Result<AppendReceipt, LogError>

    /**
     * Reads at most [maxRecords] records with offsets above [afterOffset]. Without such records it waits until
     * [waitUntilMillis] (epoch milliseconds) and then returns an empty batch.
     */
    fun read(
        stream: StreamName,
        afterOffset: Long,
        maxRecords: Int,
        waitUntilMillis: Long,
    ): Result<LogBatch, LogError>

    /**
     * Reads, without waiting, what still counts of the records with offsets above [afterOffset], at most [maxRecords] of
     * them. A log that keeps the newest record of each key returns only those, so that a reader far behind need not read
     * the records that they replaced. Other logs return the same as [read].
     */
    fun readNewest(
        stream: StreamName,
        afterOffset: Long,
        maxRecords: Int,
    ): Result<LogBatch, LogError> = read(stream, afterOffset, maxRecords, waitUntilMillis = 0)

    /** Returns the stored stages of ordered moves, which lie outside the streams. Logs without orders have none. */
    fun orderedStages(): Result<List<OrderedStage>, LogError> = Ok(emptyList())

    /**
     * Stores [stage] unless the move has a final stage already, and returns the stage that stands then. Logs without
     * orders refuse it. Gives up at [deadlineMillis] (epoch milliseconds).
     */
    fun storeStage(
        stage: OrderedStage,
        deadlineMillis: Long,
    ): Result<OrderedStage, LogError> = Err(LogError.Unavailable("this log has no ordered moves"))
}

/**
 * Holds how far the ordered [move] of [service] to [to] has come. [startedAtMillis] and [completeByMillis] are epoch
 * milliseconds of the node that saw the order first.
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

/** Holds the offsets of appended records, in the order given, and the platform's time of the append. */
@Serializable
data class AppendReceipt(
    val offsets: List<Long>,
    val appendedAtMillis: Long,
)

/**
 * Holds entries in order of their offsets. [earliestOffset] is the first offset that the log still keeps, [nextOffset] the
 * offset of the next append.
 */
@Serializable
data class LogBatch(
    val entries: List<LogEntry>,
    val earliestOffset: Long,
    val nextOffset: Long,
    val retentionMillis: Long,
)

/** Says why the platform log did not do what was asked. */
sealed interface LogError {
    /** The log did not take the request; nothing happened. */
    data class Unavailable(
        val reason: String,
    ) : LogError

    /** No answer arrived; an append may have taken effect. */
    data class OutcomeUnknown(
        val reason: String,
    ) : LogError

    /** The log takes no more appends before [retryAtMillis]; nothing happened. */
    data class RateLimited(
        val retryAtMillis: Long,
    ) : LogError

    /** Records after the requested offset have expired; the log starts at [earliestOffset]. */
    data class Trimmed(
        val earliestOffset: Long,
    ) : LogError

    /** The answer could not be understood. */
    data class Malformed(
        val reason: String,
    ) : LogError
}
