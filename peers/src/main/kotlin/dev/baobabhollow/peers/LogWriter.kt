package dev.baobabhollow.peers

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.fold
import com.github.michaelbull.result.map
import dev.baobabhollow.configuration.APPEND_RETRY_LIMIT_MILLIS
import dev.baobabhollow.model.LogError
import dev.baobabhollow.model.LogRecord
import dev.baobabhollow.model.OrderedStage
import dev.baobabhollow.model.PlatformLog
import dev.baobabhollow.model.RecordBody
import dev.baobabhollow.model.StreamName
import dev.baobabhollow.model.WriterId
import org.apache.logging.log4j.LogManager
import java.util.concurrent.TimeUnit
import java.util.concurrent.locks.LockSupport
import java.util.random.RandomGenerator

/**
 * Request to append [body] while [isWanted] returns true. [isRetried] is false for records that need no second attempt.
 * A non-null [stage], that of an ordered move, is stored instead of [body].
 */
internal data class AppendRequest(
    val body: RecordBody,
    val isRetried: Boolean = true,
    val stage: OrderedStage? = null,
    val isWanted: () -> Boolean,
)

/**
 * Appends records one after the other. After an unknown outcome it retries with the same sequence for at most
 * [APPEND_RETRY_LIMIT_MILLIS], during which every reader still remembers this writer and drops duplicates.
 */
internal class LogWriter(
    private val log: PlatformLog,
    private val writer: WriterId,
    private val clock: () -> Long,
    private val settings: ControlPlaneSettings,
    private val metrics: ControlMetrics,
    random: RandomGenerator,
    private val post: (ControlEvent) -> Boolean,
) : Thread("log-writer") {
    private val ring = ControlRing<AppendRequest>("appends", settings.maxQueuedAppends, metrics)
    private val backoff = Backoff(settings.minBackoffMillis, MAX_BACKOFF_MILLIS, random)
    private var sequence = 0L

    @Volatile
    private var isStopped = false

    init {
        isDaemon = true
        ring.attach(this)
    }

    /** Queues [request]. Returns false if the ring is full. */
    fun offer(request: AppendRequest): Boolean = ring.offer(request)

    fun shutdown() {
        isStopped = true
        interrupt()
    }

    override fun run() {
        while (!isStopped) {
            val request = ring.poll()
            if (request == null) {
                LockSupport.parkNanos(IDLE_NANOS)
                continue
            }
            try {
                handle(request)
            } catch (_: InterruptedException) {
                continue
            }
        }
    }

    private fun handle(request: AppendRequest) {
        val record = LogRecord(writer, ++sequence, request.body)
        val finished =
            if (request.stage == null) {
                ControlEvent.AppendFinished(record, attemptUntilOutcomeKnown(request) { append(record) })
            } else {
                ControlEvent.AppendFinished(record, null, attemptUntilOutcomeKnown(request) { store(request.stage) })
            }
        while (!post(finished) && !isStopped) pauseMillis(settings.minBackoffMillis)
    }

    private fun <T : Any> attemptUntilOutcomeKnown(
        request: AppendRequest,
        attempt: () -> Result<T, LogError>,
    ): T? {
        val startedNanos = System.nanoTime()
        backoff.reset()
        while (!isStopped && request.isWanted()) {
            val error = attempt().fold({ return it }, { it })
            val elapsedMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startedNanos)
            if (!request.isRetried || elapsedMillis > APPEND_RETRY_LIMIT_MILLIS) return null
            pauseMillis(waitMillis(error))
        }
        return null
    }

    private fun append(record: LogRecord): Result<Long, LogError> =
        counted("append") {
            log.append(StreamName.CONFIGURATION, listOf(record), clock() + settings.appendTimeoutMillis)
        }.map { it.offsets.first() }

    private fun store(stage: OrderedStage): Result<OrderedStage, LogError> =
        counted("store stage") { log.storeStage(stage, clock() + settings.appendTimeoutMillis) }

    private fun <T> counted(
        call: String,
        attempt: () -> Result<T, LogError>,
    ): Result<T, LogError> {
        val result =
            try {
                attempt()
            } catch (e: RuntimeException) {
                LOG.error("{} failed", call, e)
                Err(LogError.OutcomeUnknown(e.toString()))
            }
        metrics.countLogCall(call, result.fold({ "ok" }, { it::class.simpleName.orEmpty() }))
        return result
    }

    private fun waitMillis(error: LogError): Long {
        val backoffMillis = backoff.nextMillis()
        if (error !is LogError.RateLimited) return backoffMillis
        return backoffMillis + (error.retryAtMillis - clock()).coerceIn(0, MAX_BACKOFF_MILLIS)
    }

    private fun pauseMillis(millis: Long) = LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(millis))

    private companion object {
        /** Short, because a move stays undecided while its take-back waits to be appended. */
        const val MAX_BACKOFF_MILLIS = 2_000L
        val IDLE_NANOS = TimeUnit.SECONDS.toNanos(1)
        val LOG = LogManager.getLogger(LogWriter::class.java)
    }
}
