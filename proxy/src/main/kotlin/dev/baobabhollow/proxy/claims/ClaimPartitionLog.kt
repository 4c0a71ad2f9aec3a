package dev.baobabhollow.proxy.claims

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import dev.baobabhollow.calls.ClaimTable
import dev.baobabhollow.model.LogBatch
import dev.baobabhollow.model.LogError
import dev.baobabhollow.model.PlatformLog
import dev.baobabhollow.model.StreamName

/** Reads the claims stream of one partition into a [ClaimTable]. Confined to the claims thread. */
internal class ClaimPartitionLog(
    partition: Int,
    settings: ClaimsSettings,
    private val log: PlatformLog,
    private val nowMillis: () -> Long,
) {
    /** Stream of the partition. */
    val stream: StreamName = StreamName.claims(partition)

    /** Claims read so far. */
    val claimTable = ClaimTable(partition, settings.partitions, settings.maxKeysPerPartition)

    /**
     * Reads the stream up to its current end. Returns true if the log has trimmed all of its records, in which case the
     * [ClaimTable] learns the log's time only from the next append.
     */
    fun catchUp(deadlineMillis: Long): Result<Boolean, LogError> {
        while (true) {
            val result = readNext(waitUntilMillis = nowMillis())
            val batch = result.get() ?: return Err(result.getError() ?: TIMEOUT)
            val atEnd = claimTable.offset >= batch.nextOffset - 1
            if (atEnd) return Ok(batch.earliestOffset > 0 && batch.earliestOffset == batch.nextOffset)
            if (nowMillis() >= deadlineMillis) return Err(TIMEOUT)
        }
    }

    /** Reads the stream up to and including [offset], which has been appended. */
    fun readThrough(
        offset: Long,
        deadlineMillis: Long,
    ): Result<Unit, LogError> {
        while (claimTable.offset < offset) {
            if (nowMillis() >= deadlineMillis) return Err(TIMEOUT)
            readNext(deadlineMillis).getError()?.let { return Err(it) }
        }
        return Ok(Unit)
    }

    private fun readNext(waitUntilMillis: Long): Result<LogBatch, LogError> {
        val result = log.read(stream, claimTable.offset, MAX_RECORDS, waitUntilMillis)
        val error = result.getError()
        if (error is LogError.Trimmed) {
            if (error.earliestOffset <=
                claimTable.offset + 1
            ) {
                return Err(LogError.Malformed("the log reported trimmed records that were not requested: $error"))
            }
            claimTable.skipTo(error.earliestOffset)
            return log.read(stream, claimTable.offset, MAX_RECORDS, waitUntilMillis).also(::addAll)
        }
        return result.also(::addAll)
    }

    private fun addAll(result: Result<LogBatch, LogError>) = result.get()?.entries?.forEach(claimTable::add)

    private companion object {
        const val MAX_RECORDS = 1_000
        val TIMEOUT = LogError.Unavailable("the claims stream could not be read in time")
    }
}
