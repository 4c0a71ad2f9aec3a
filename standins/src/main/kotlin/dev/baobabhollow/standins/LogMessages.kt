package dev.baobabhollow.standins

import kotlinx.serialization.Serializable

/** Body of `POST /trim` of a [StandInLog]: removes the records of [stream] below [beforeOffset]. */
@Serializable
data class TrimRequest(
    val stream: String,
    val beforeOffset: Long,
)

/** Returns the response body of a read. Records are written in the JSON text that was appended. */
internal fun ReadResult.toJson(retentionMillis: Long): String =
    buildString {
        append("""{"entries":[""")
        records.forEachIndexed { index, record ->
            if (index > 0) append(',')
            append("""{"offset":${record.offset},"appendedAtMillis":${record.appendedAtMillis},"record":""")
            append(record.json).append('}')
        }
        append("""],"earliestOffset":$earliestOffset,"nextOffset":$nextOffset,"retentionMillis":$retentionMillis}""")
    }
