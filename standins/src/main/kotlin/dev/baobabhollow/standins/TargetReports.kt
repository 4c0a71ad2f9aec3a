package dev.baobabhollow.standins

import kotlinx.serialization.Serializable

/** Answer of a [StandInTarget] to a call. Hash and length are those of the request body that arrived. */
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

/** Body of `GET /health`. */
@Serializable
data class HealthReport(
    val status: String,
)

/** Body of `GET /load`. */
@Serializable
data class LoadReport(
    val slots: Int,
    val executing: Int,
    val queued: Int,
    val connections: Int,
)

/**
 * Body of `GET /stats`. `GET /stats?summary=true` leaves out the maps.
 *
 * @property executions calls that got a slot
 * @property answered calls whose whole answer was written
 * @property failed executed calls that got an error, a cut answer or none
 * @property cancelled executing or waiting calls whose connection was closed by the caller
 * @property shed calls refused because slots and queue were full
 * @property refusedDraining calls refused while draining
 * @property pastDeadline calls whose deadline passed before or during execution
 * @property peakExecuting largest number of calls executed at one time
 * @property peakConnections largest number of connections with calls at one time
 * @property refusedConnections connections closed because too many carried calls
 * @property executionsByRequestId executions for each `x-request-id`, of the latest ids
 * @property executionsByKey executions for each `idempotency-key`, of the latest keys
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

/** Counts executions by identifier and forgets the oldest identifiers above a limit. */
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
