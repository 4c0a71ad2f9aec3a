package dev.baobabhollow.standins

import kotlinx.serialization.Serializable

/** Response body of a [StandInTarget] to a call. Length and hash are those of the received request body. */
@Serializable
data class TargetResponse(
    val target: String,
    val service: String,
    val release: String,
    val method: String,
    val path: String,
    val requestId: String? = null,
    val idempotencyKey: String? = null,
    val bodyBytes: Long,
    val bodySha256: String,
    val padding: String = "",
)

/** Response body of `GET /health`. */
@Serializable
data class HealthReport(
    val status: String,
)

/** Response body of `GET /load`. */
@Serializable
data class LoadReport(
    val slots: Int,
    val executing: Int,
    val queued: Int,
    val connections: Int,
)

/**
 * Response body of `GET /stats`. `GET /stats?summary=true` omits the maps.
 *
 * @property executions calls that got a slot
 * @property answered calls whose complete response was written
 * @property failed executed calls that ended with an error, a truncated response or none
 * @property cancelled executing or waiting calls whose connection was closed by the caller
 * @property shed calls rejected because all slots and the queue were full
 * @property refusedDraining calls rejected while draining
 * @property pastDeadline calls whose deadline passed before or during execution
 * @property peakExecuting largest number of concurrent calls
 * @property peakConnections largest number of concurrent connections with calls
 * @property refusedConnections connections closed because too many carried calls
 * @property executionsByRequestId number of executions per `x-request-id`, for the latest ids
 * @property executionsByKey number of executions per `idempotency-key`, for the latest keys
 */
@Serializable
data class TargetStats(
    val executions: Long = 0,
    val answered: Long = 0,
    val failed: Long = 0,
    val cancelled: Long = 0,
    val shed: Long = 0,
    val refusedDraining: Long = 0,
    val pastDeadline: Long = 0,
    val peakExecuting: Int = 0,
    val peakConnections: Int = 0,
    val refusedConnections: Long = 0,
    val executionsByRequestId: Map<String, Int> = emptyMap(),
    val executionsByKey: Map<String, Int> = emptyMap(),
)

/** Counts executions by identifier. Above a limit, the oldest identifiers are removed. */
internal class ExecutionCounts {
    private val counts =
        object : LinkedHashMap<String, Int>() {
            override fun removeEldestEntry(eldest: MutableMap.MutableEntry<String, Int>) = size > MAX_IDENTIFIERS
        }

    /** Counts one execution. */
    fun add(identifier: String?) {
        if (identifier != null) counts.merge(identifier, 1, Int::plus)
    }

    /** Returns a copy of the counts. */
    fun toMap(): Map<String, Int> = LinkedHashMap(counts)

    private companion object {
        const val MAX_IDENTIFIERS = 200_000
    }
}
