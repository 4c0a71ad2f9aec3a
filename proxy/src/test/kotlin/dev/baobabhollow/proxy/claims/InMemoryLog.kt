package dev.baobabhollow.proxy.claims

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import dev.baobabhollow.model.AppendReceipt
import dev.baobabhollow.model.LogBatch
import dev.baobabhollow.model.LogEntry
import dev.baobabhollow.model.LogError
import dev.baobabhollow.model.LogRecord
import dev.baobabhollow.model.PlatformLog
import dev.baobabhollow.model.StreamName
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.atomic.AtomicInteger

/** A log shared by several nodes in memory; [onAppend] may block, fail an append or delay its effect. */
internal class InMemoryLog : PlatformLog {
    val appends = AtomicInteger()

    @Volatile
    var onAppend: InMemoryLog.(StreamName, List<LogRecord>) -> LogError? = { _, _ -> null }

    @Volatile
    var readError: LogError? = null
    private val streams = HashMap<StreamName, MutableList<LogEntry>>()
    private val delayed = ConcurrentLinkedQueue<() -> Unit>()
    private var trimmedBelow = 0L

    /** Defers the effect of an append until [runDelayed] is called. */
    fun delay(
        stream: StreamName,
        records: List<LogRecord>,
    ) = delayed.add { add(stream, records) }

    fun runDelayed() = generateSequence { delayed.poll() }.forEach { it() }

    @Synchronized
    fun add(
        stream: StreamName,
        records: List<LogRecord>,
    ): List<Long> {
        val entries = streams.getOrPut(stream, ::mutableListOf)
        records.forEach { entries += LogEntry(entries.size.toLong(), System.currentTimeMillis(), it) }
        return (entries.size - records.size until entries.size).map { it.toLong() }
    }

    @Synchronized
    fun trimAll() {
        trimmedBelow = streams.values.maxOfOrNull { it.size }?.toLong() ?: 0
    }

    override fun append(
        stream: StreamName,
        records: List<LogRecord>,
        deadlineMillis: Long,
    ): Result<AppendReceipt, LogError> {
        appends.incrementAndGet()
        onAppend(stream, records)?.let { return Err(it) }
        return Ok(AppendReceipt(add(stream, records), System.currentTimeMillis()))
    }

    @Synchronized
    override fun read(
        stream: StreamName,
        afterOffset: Long,
        maxRecords: Int,
        waitUntilMillis: Long,
    ): Result<LogBatch, LogError> {
        readError?.let { return Err(it) }
        val entries = streams[stream].orEmpty()
        val earliest = minOf(trimmedBelow, entries.size.toLong())
        if (afterOffset + 1 < earliest) return Err(LogError.Trimmed(earliest))
        val found = entries.drop((afterOffset + 1).toInt()).take(maxRecords)
        return Ok(LogBatch(found, earliest, entries.size.toLong(), 1_000))
    }
}
