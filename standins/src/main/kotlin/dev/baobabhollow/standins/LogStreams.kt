package dev.baobabhollow.standins

/** A record, stored as the JSON text that was appended. */
internal class StoredRecord(
    val offset: Long,
    val appendedAtMillis: Long,
    val json: String,
)

/** Result of a read. A reader may wait if [records] is empty. */
internal class ReadResult(
    val records: List<StoredRecord>,
    val earliestOffset: Long,
    val nextOffset: Long,
)

/** In-memory streams of a [StandInLog], limited to [maxBytes] of record text. Confined to one thread. */
internal class LogStreams(
    private val maxBytes: Long,
) {
    private class Stream {
        val records = ArrayDeque<StoredRecord>()
        var earliestOffset = 0L
        var nextOffset = 0L
    }

    private val streams = HashMap<String, Stream>()
    private var lastAppendMillis = Long.MIN_VALUE

    /** Size of all stored records in characters. */
    var keptBytes = 0L
        private set

    /** True if [records] can be appended to [stream] within the limits. */
    fun hasRoomFor(
        stream: String,
        records: List<String>,
    ): Boolean {
        val fits = keptBytes + records.sumOf { it.length } <= maxBytes
        return fits && (stream in streams || streams.size < MAX_STREAMS)
    }

    /** Appends [records] and returns the first offset and the append time, which never decreases. */
    fun append(
        stream: String,
        records: List<String>,
        nowMillis: Long,
    ): Pair<Long, Long> {
        val kept = streams.getOrPut(stream, ::Stream)
        val firstOffset = kept.nextOffset
        lastAppendMillis = maxOf(lastAppendMillis, nowMillis)
        for (json in records) {
            kept.records.addLast(StoredRecord(kept.nextOffset++, lastAppendMillis, json))
            keptBytes += json.length
        }
        return firstOffset to lastAppendMillis
    }

    /** Returns at most [maxRecords] records after [afterOffset], or null if some of them were trimmed. */
    fun read(
        stream: String,
        afterOffset: Long,
        maxRecords: Int,
    ): ReadResult? {
        val kept = streams[stream] ?: return ReadResult(emptyList(), 0, 0)
        if (afterOffset + 1 < kept.earliestOffset) return null
        val from = (afterOffset + 1 - kept.earliestOffset).coerceAtMost(kept.records.size.toLong()).toInt()
        val found = mutableListOf<StoredRecord>()
        var size = 0
        for (index in from until minOf(kept.records.size.toLong(), from.toLong() + maxRecords).toInt()) {
            val record = kept.records[index]
            size += record.json.length
            if (found.isNotEmpty() && size > MAX_ANSWER_CHARS) break
            found += record
        }
        return ReadResult(found, kept.earliestOffset, kept.nextOffset)
    }

    /** Returns the earliest offset that [stream] still contains. */
    fun earliestOffset(stream: String): Long = streams[stream]?.earliestOffset ?: 0

    /** Removes the records of [stream] below [beforeOffset]. */
    fun trim(
        stream: String,
        beforeOffset: Long,
    ) {
        val kept = streams[stream] ?: return
        removeWhile(kept) { it.offset < beforeOffset }
    }

    /** Removes all records appended before [beforeMillis]. */
    fun expire(beforeMillis: Long) =
        streams.values.forEach { kept ->
            removeWhile(kept) {
                it.appendedAtMillis <
                    beforeMillis
            }
        }

    private fun removeWhile(
        kept: Stream,
        isRemoved: (StoredRecord) -> Boolean,
    ) {
        while (kept.records.isNotEmpty() && isRemoved(kept.records.first())) {
            keptBytes -=
                kept.records
                    .removeFirst()
                    .json.length
            kept.earliestOffset++
        }
    }

    private companion object {
        const val MAX_STREAMS = 4_096
        const val MAX_ANSWER_CHARS = 4 * 1024 * 1024
    }
}
