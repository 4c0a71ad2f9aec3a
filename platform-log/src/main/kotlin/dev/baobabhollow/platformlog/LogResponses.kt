package dev.baobabhollow.platformlog

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.fold
import dev.baobabhollow.model.LogError
import dev.baobabhollow.model.LogRecord
import dev.baobabhollow.model.ModelJson
import kotlinx.serialization.DeserializationStrategy
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException

/** Body of an append request. */
@Serializable
internal data class AppendRequest(
    val records: List<LogRecord>,
)

@Serializable
private data class TrimmedResponse(
    val earliestOffset: Long,
)

private const val STATUS_OK = 200
private const val STATUS_GONE = 410
private const val STATUS_TOO_MANY_REQUESTS = 429
private const val STATUS_UNAVAILABLE = 503
private const val DEFAULT_RETRY_AFTER_MILLIS = 100L
private const val MAX_REASON_CHARS = 200
private val CLIENT_ERRORS = 400..499

/** Decodes the body with [strategy], or returns the error that corresponds to the status. */
internal fun <T> LogResponse.decode(
    strategy: DeserializationStrategy<T>,
    nowMillis: Long,
): Result<T, LogError> =
    when (status) {
        STATUS_OK -> decodeBody(strategy)
        STATUS_GONE -> Err(trimmed())
        STATUS_TOO_MANY_REQUESTS -> Err(LogError.RateLimited(nowMillis + retryDelayMillis()))
        STATUS_UNAVAILABLE, in CLIENT_ERRORS -> Err(LogError.Unavailable(describe()))
        else -> Err(LogError.OutcomeUnknown(describe()))
    }

private fun LogResponse.retryDelayMillis() = (retryAfterMillis ?: DEFAULT_RETRY_AFTER_MILLIS).coerceAtLeast(0)

private fun LogResponse.trimmed(): LogError =
    decodeBody(TrimmedResponse.serializer()).fold(success = { LogError.Trimmed(it.earliestOffset) }, failure = { it })

private fun <T> LogResponse.decodeBody(strategy: DeserializationStrategy<T>): Result<T, LogError> =
    try {
        Ok(ModelJson.decodeFromString(strategy, body))
    } catch (failure: SerializationException) {
        Err(LogError.Malformed(failure.message.orEmpty().take(MAX_REASON_CHARS)))
    } catch (failure: IllegalArgumentException) {
        Err(LogError.Malformed(failure.message.orEmpty().take(MAX_REASON_CHARS)))
    }

private fun LogResponse.describe() = "status $status: ${body.take(MAX_REASON_CHARS)}"
