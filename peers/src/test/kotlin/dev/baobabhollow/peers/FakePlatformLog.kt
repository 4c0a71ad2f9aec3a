package dev.baobabhollow.peers

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import dev.baobabhollow.model.AppendReceipt
import dev.baobabhollow.model.LogBatch
import dev.baobabhollow.model.LogEntry
import dev.baobabhollow.model.LogError
import dev.baobabhollow.model.LogRecord
import dev.baobabhollow.model.OrderedStage
import dev.baobabhollow.model.PlatformLog
import dev.baobabhollow.model.StreamName
import java.util.concurrent.atomic.AtomicInteger

/** In-memory configuration stream. The next [lostResponses] appends take effect, but fail with an unknown outcome. */
internal class FakePlatformLog {
    private val entries = mutableListOf<LogEntry>()
    private var earliest = 0L
    private var era = 0L
    private val lock = Object()
    val reads = AtomicInteger()
    val lostResponses = AtomicInteger()

    @Volatile
    var isDown = false

    /** Stages of ordered moves, which are stored outside the stream. */
    @Volatile
    var stages: List<OrderedStage> = emptyList()

    /** Number of the next reads of the stages that fail. */
    val failingStageReads = AtomicInteger()

    /** True while reads return no records. */
    @Volatile
    var hidesRecords = false

    fun records(): List<LogEntry> = synchronized(lock) { entries.toList() }

    fun append(record: LogRecord): Long =
        synchronized(lock) {
            val offset = entries.size.toLong()
            entries += LogEntry(offset, System.currentTimeMillis(), record)
            lock.notifyAll()
            offset
        }

    /** Returns from a copy that holds only the first [count] records, and starts the next era. */
    fun comeBackWith(count: Int) =
        synchronized(lock) {
            era++
            while (entries.size > count) entries.removeLast()
            lock.notifyAll()
        }

    /** Drops all records below [offset]. */
    fun trim(offset: Long) = synchronized(lock) { earliest = offset }

    /** Returns the log as seen by one failure domain, which is cut off from it while [isCut] returns true. */
    fun viewFrom(isCut: () -> Boolean): PlatformLog =
        object : PlatformLog {
            override fun append(
                stream: StreamName,
                records: List<LogRecord>,
                deadlineMillis: Long,
            ): Result<AppendReceipt, LogError> {
                if (isDown || isCut()) return Err(LogError.Unavailable("down"))
                val offsets = records.map(::append)
                if (lostResponses.getAndUpdate { maxOf(0, it - 1) } > 0) return Err(LogError.OutcomeUnknown("lost"))
                return Ok(AppendReceipt(offsets, System.currentTimeMillis()))
            }

            override fun read(
                stream: StreamName,
                afterOffset: Long,
                maxRecords: Int,
                waitUntilMillis: Long,
            ): Result<LogBatch, LogError> = readFrom(afterOffset, maxRecords, waitUntilMillis, isCut)

            override fun orderedStages(): Result<List<OrderedStage>, LogError> {
                val fails = failingStageReads.getAndUpdate { maxOf(0, it - 1) } > 0
                return if (fails || isDown || isCut()) Err(LogError.Unavailable("stages")) else Ok(stages)
            }

            override fun storeStage(
                stage: OrderedStage,
                deadlineMillis: Long,
            ): Result<OrderedStage, LogError> {
                if (isDown || isCut()) return Err(LogError.Unavailable("stages"))
                synchronized(lock) {
                    stages = stages.filter { it.service != stage.service } + stage
                }
                return Ok(stage)
            }
        }

    private fun readFrom(
        after: Long,
        max: Int,
        waitUntilMillis: Long,
        isCut: () -> Boolean,
    ): Result<LogBatch, LogError> {
        reads.incrementAndGet()
        synchronized(lock) {
            while (!isDown && !isCut() && (hidesRecords || entries.size <= after + 1)) {
                val leftMillis = waitUntilMillis - System.currentTimeMillis()
                if (leftMillis <= 0) break
                lock.wait(minOf(leftMillis, POLL_MILLIS))
            }
            if (isDown || isCut()) return Err(LogError.Unavailable("down"))
            if (after + 1 < earliest) return Err(LogError.Trimmed(earliest))
            val found = if (hidesRecords) emptyList() else entries.filter { it.offset > after }.take(max)
            return Ok(LogBatch(found, earliest, entries.size.toLong(), RETENTION_MILLIS, era))
        }
    }

    private companion object {
        const val POLL_MILLIS = 50L
        const val RETENTION_MILLIS = 3_600_000L
    }
}
