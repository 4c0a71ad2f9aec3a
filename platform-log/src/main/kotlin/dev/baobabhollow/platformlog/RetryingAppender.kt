package dev.baobabhollow.platformlog

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getError
import dev.baobabhollow.model.AppendReceipt
import dev.baobabhollow.model.LogError
import dev.baobabhollow.model.LogRecord
import dev.baobabhollow.model.MonotonicClock
import dev.baobabhollow.model.PlatformLog
import dev.baobabhollow.model.StreamName
import java.util.concurrent.TimeUnit
import kotlin.random.Random

/**
 * Timeout of each attempt of a [RetryingAppender], and the bounds of its exponential backoff: [firstMillis] is the
 * maximum delay after the first attempt, [maxMillis] that after any attempt.
 */
data class RetryDelays(
    val attemptMillis: Long = 5_000,
    val firstMillis: Long = 50,
    val maxMillis: Long = 5_000,
)

/**
 * Appends records and retries with the same writer and sequences until the log confirms them or the time limit is
 * reached.
 *
 * [retryLimitMillis] limits the time for retries: readers drop a duplicate only as long as they retain the writer, so
 * pass `APPEND_RETRY_LIMIT_MILLIS` of the configuration. [elapsedMillis] must be monotonic, because a step of the wall
 * clock must not extend the limit.
 */
class RetryingAppender(
    private val log: PlatformLog,
    private val retryLimitMillis: Long,
    private val delays: RetryDelays = RetryDelays(),
    private val nowMillis: () -> Long = MonotonicClock(),
    private val elapsedMillis: () -> Long = { TimeUnit.NANOSECONDS.toMillis(System.nanoTime()) },
    private val pause: (millis: Long) -> Unit = Thread::sleep,
    private val random: Random = Random.Default,
) {
    /**
     * Appends [records] and gives up at [deadlineMillis] (epoch milliseconds) or after the retry limit.
     *
     * Fails with [LogError.OutcomeUnknown] if any attempt may have taken effect. [LogError.Malformed] is not retried,
     * and the outcome is unknown then too.
     */
    fun append(
        stream: StreamName,
        records: List<LogRecord>,
        deadlineMillis: Long,
    ): Result<AppendReceipt, LogError> {
        val endMillis = elapsedMillis() + minOf(deadlineMillis - nowMillis(), retryLimitMillis)
        var attempt = 0
        var unknown: LogError.OutcomeUnknown? = null
        while (true) {
            val attemptMillis = minOf(delays.attemptMillis, endMillis - elapsedMillis())
            val result = log.append(stream, records, nowMillis() + attemptMillis)
            val error = result.getError() ?: return result
            if (error is LogError.OutcomeUnknown) unknown = error
            val delayMillis = delayAfter(error, attempt++)
            val isLastAttempt = delayMillis == null || elapsedMillis() + delayMillis >= endMillis
            if (isLastAttempt || !sleep(delayMillis)) return Err(unknown ?: error)
        }
    }

    private fun delayAfter(
        error: LogError,
        attempt: Int,
    ): Long? =
        when (error) {
            is LogError.Unavailable, is LogError.OutcomeUnknown -> backoffMillis(attempt)
            is LogError.RateLimited -> (error.retryAtMillis - nowMillis()).coerceAtLeast(0) + backoffMillis(attempt)
            is LogError.Trimmed, is LogError.Malformed -> null
        }

    // Full jitter spreads out the retries of writers that an outage has synchronized.
    private fun backoffMillis(attempt: Int): Long {
        val ceiling = minOf(delays.maxMillis, delays.firstMillis shl minOf(attempt, MAX_DOUBLINGS))
        return random.nextLong(ceiling + 1)
    }

    private fun sleep(millis: Long): Boolean =
        try {
            pause(millis)
            true
        } catch (_: InterruptedException) {
            Thread.currentThread().interrupt()
            false
        }

    private companion object {
        const val MAX_DOUBLINGS = 20
    }
}
