package dev.baobabhollow.peers

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.fold
import dev.baobabhollow.configuration.SnapshotSearch
import dev.baobabhollow.model.LogBatch
import dev.baobabhollow.model.LogError
import dev.baobabhollow.model.NO_OFFSET
import dev.baobabhollow.model.PlatformLog
import dev.baobabhollow.model.StreamName
import org.apache.logging.log4j.LogManager
import java.util.concurrent.CompletableFuture
import java.util.concurrent.ExecutionException
import java.util.concurrent.TimeUnit
import java.util.concurrent.TimeoutException
import java.util.concurrent.locks.LockSupport
import java.util.random.RandomGenerator

/**
 * Instruction to read after [offset] of [era] with [pollMillis] as the long-poll timeout, or not to read if it is null.
 */
internal data class ReadInstruction(
    val pollMillis: Long?,
    val offset: Long,
    val era: Long = 0,
)

/** Long-polls the configuration stream while instructed to, and posts the results to the control thread. */
internal class LogReader(
    private val log: PlatformLog,
    private val clock: () -> Long,
    private val settings: ControlPlaneSettings,
    private val metrics: ControlMetrics,
    random: RandomGenerator,
    private val post: (ControlEvent) -> Boolean,
) : Thread("log-reader") {
    private val backoff = Backoff(settings.minBackoffMillis, settings.maxBackoffMillis, random)

    @Volatile
    private var isStopped = false

    @Volatile
    private var instruction = ReadInstruction(null, -1)

    /** True until the stages of ordered moves have been read. Set by each outage, which may have hidden some. */
    private var needsStages = true
    private var isLogUnavailable = false

    /** True at the start, and while the log holds more records than the last read returned. */
    private var isBehind = true

    init {
        isDaemon = true
    }

    /** Replaces the instruction. May be called from any thread. */
    fun follow(next: ReadInstruction) {
        if (next == instruction) return
        instruction = next
        LockSupport.unpark(this)
    }

    fun shutdown() {
        isStopped = true
        interrupt()
    }

    override fun run() {
        while (!isStopped) {
            try {
                instruction.pollMillis?.let(::readOnce) ?: LockSupport.parkNanos(IDLE_NANOS)
            } catch (_: InterruptedException) {
                continue
            } catch (e: RuntimeException) {
                LOG.error("log reader failed", e)
                pauseMillis(backoff.nextMillis())
            }
        }
    }

    private fun readOnce(pollMillis: Long) {
        if (needsStages) readStages()
        val known = instruction
        val after = known.offset
        readAfter(after, pollMillis).fold(
            success = {
                when {
                    it.era > known.era && (known.era > 0 || after != NO_OFFSET) -> readNewEra(it.era)
                    it.era < known.era -> pauseMillis(settings.minBackoffMillis)
                    it.earliestOffset > after + 1 -> recover(it.earliestOffset)
                    else -> accept(after, it)
                }
            },
            failure = { handle(it) },
        )
    }

    /**
     * Reads the log of a later era from its start: it has lost records that this node holds, and may hold others at
     * their offsets. The stages of ordered moves may be lost too.
     */
    private fun readNewEra(era: Long) {
        needsStages = true
        counted(log.readNewest(StreamName.CONFIGURATION, NO_OFFSET, settings.maxReadRecords)).fold(
            success = { if (it.era >= era) accept(NO_OFFSET, it) else pauseMillis(settings.minBackoffMillis) },
            failure = { handle(it) },
        )
    }

    private fun readAfter(
        after: Long,
        pollMillis: Long,
    ): Result<LogBatch, LogError> {
        if (isBehind) return counted(log.readNewest(StreamName.CONFIGURATION, after, settings.maxReadRecords))
        // Doesn't long-poll while the stages are unread, since their retry would wait for the next record.
        return read(after, if (needsStages) clock() else clock() + pollMillis)
    }

    private fun readStages() =
        log.orderedStages().fold(
            success = { needsStages = !post(ControlEvent.StagesRead(it)) },
            failure = { handle(it) },
        )

    private fun accept(
        after: Long,
        batch: LogBatch,
    ) {
        backoff.reset()
        if (isLogUnavailable) LOG.info("event=log_regained after_offset={} next_offset={}", after, batch.nextOffset)
        isLogUnavailable = false
        isBehind = (batch.entries.lastOrNull()?.offset ?: after) + 1 < batch.nextOffset
        postAndAwait { ControlEvent.LogRead(after, batch, it) }
        // Avoids a busy loop if the log has more records but returns none.
        if (isBehind && batch.entries.isEmpty()) pauseMillis(settings.minBackoffMillis)
    }

    private fun handle(error: LogError) {
        post(ControlEvent.LogFailed(error))
        if (!isLogUnavailable) LOG.warn("event=log_lost error={}", error)
        isLogUnavailable = true
        needsStages = true
        if (error is LogError.Trimmed) recover(error.earliestOffset) else pauseMillis(backoff.nextMillis())
    }

    /** Waits for a state from peers, and rebuilds it from the log if none arrives. */
    private fun recover(earliestOffset: Long) {
        post(ControlEvent.LogFailed(LogError.Trimmed(earliestOffset)))
        val deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(settings.requestTimeoutMillis)
        while (instruction.offset < earliestOffset - 1 && System.nanoTime() < deadlineNanos) pauseMillis(POLL_MILLIS)
        if (isStopped || instruction.offset >= earliestOffset - 1) return
        searchSnapshot(earliestOffset)
    }

    private fun searchSnapshot(earliestOffset: Long) {
        val search = SnapshotSearch(earliestOffset)
        var after = earliestOffset - 1
        while (!isStopped) {
            val batch = read(after, clock()).fold({ it }, { null }) ?: return pauseMillis(backoff.nextMillis())
            if (batch.earliestOffset > earliestOffset && after < batch.earliestOffset - 1) return
            batch.entries.forEach(search::add)
            after = batch.entries.lastOrNull()?.offset ?: break
            if (after + 1 >= batch.nextOffset) break
        }
        val found = search.state
        if (found == null) {
            LOG.warn("no usable snapshot in the log at or after offset {}", earliestOffset)
            return pauseMillis(backoff.nextMillis())
        }
        backoff.reset()
        postAndAwait { ControlEvent.LogStateFound(found, it) }
    }

    private fun read(
        after: Long,
        waitUntilMillis: Long,
    ): Result<LogBatch, LogError> =
        counted(log.read(StreamName.CONFIGURATION, after, settings.maxReadRecords, waitUntilMillis))

    private fun counted(result: Result<LogBatch, LogError>): Result<LogBatch, LogError> {
        metrics.countLogCall("read", result.fold({ "ok" }, { it::class.simpleName.orEmpty() }))
        return result
    }

    /** Posts an event and waits until it has been applied, so that the next read starts after it. */
    private fun postAndAwait(event: (CompletableFuture<Unit>) -> ControlEvent) {
        val done = CompletableFuture<Unit>()
        if (!post(event(done))) return pauseMillis(backoff.nextMillis())
        try {
            done.get(settings.requestTimeoutMillis, TimeUnit.MILLISECONDS)
        } catch (e: TimeoutException) {
            LOG.warn("control thread did not apply a batch in time", e)
        } catch (e: ExecutionException) {
            LOG.error("control thread failed to apply a batch", e)
        }
    }

    private fun pauseMillis(millis: Long) = LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(millis))

    private companion object {
        val IDLE_NANOS = TimeUnit.SECONDS.toNanos(1)
        const val POLL_MILLIS = 50L
        val LOG = LogManager.getLogger(LogReader::class.java)
    }
}
