package dev.baobabhollow.bench.distribution

import com.github.michaelbull.result.Result
import dev.baobabhollow.model.LogBatch
import dev.baobabhollow.model.LogError
import dev.baobabhollow.model.PlatformLog
import dev.baobabhollow.model.StreamName
import java.util.concurrent.atomic.AtomicLong

/** Wraps [log] and counts its reads in [reads]. */
internal class CountingLog(
    private val log: PlatformLog,
    private val reads: AtomicLong,
) : PlatformLog by log {
    override fun read(
        stream: StreamName,
        afterOffset: Long,
        maxRecords: Int,
        waitUntilMillis: Long,
    ): Result<LogBatch, LogError> {
        reads.incrementAndGet()
        return log.read(stream, afterOffset, maxRecords, waitUntilMillis)
    }
}
