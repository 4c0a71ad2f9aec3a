package dev.baobabhollow.model

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Precedes the offset of the first record of a stream. */
const val NO_OFFSET = -1L

/**
 * Holds the result of folding the configuration stream through [offset]. Every reader that folds the same records holds an
 * equal state.
 *
 * [currentReleases] names for each service the release that receives all calls but the share of a running move.
 */
@Serializable
data class ConfigurationState(
    val offset: Long = NO_OFFSET,
    val version: Long = 0,
    val mesh: MeshConfig = MeshConfig.EMPTY,
    val currentReleases: Map<ServiceId, ReleaseId> = emptyMap(),
    val moves: Map<MoveId, MoveState> = emptyMap(),
    val verdicts: List<PatchVerdict> = emptyList(),
    val writers: Map<WriterId, WriterState> = emptyMap(),
    val snapshotOffset: Long = NO_OFFSET,
    val snapshotAtMillis: Long = 0,
    val lastAppendedAtMillis: Long = 0,
    val orders: Map<ServiceId, MoveOrder> = emptyMap(),
) {
    /** Holds the state before the first record. */
    companion object {
        /** Has version 0. */
        val INITIAL = ConfigurationState()
    }
}

/**
 * Holds the newest order to move the traffic of a service to [release] within [durationMillis]. Its stages are kept apart
 * from the configuration stream, which only operators write.
 */
@Serializable
data class MoveOrder(
    val move: MoveId,
    val release: ReleaseId,
    val durationMillis: Long,
)

/** Remembers the last [sequence] of a writer and the log time of its last record. */
@Serializable
data class WriterState(
    val sequence: Long,
    val seenAtMillis: Long,
)

/** Says what became of a submitted patch. */
@Serializable
data class PatchVerdict(
    val writer: WriterId,
    val sequence: Long,
    val offset: Long,
    val operator: String,
    val baseVersion: Long,
    val appendedAtMillis: Long,
    val result: PatchResult,
)

/** Holds the result of a submitted patch. */
@Serializable
sealed interface PatchResult {
    /** The patch created [version]. */
    @Serializable
    @SerialName("accepted")
    data class Accepted(
        val version: Long,
    ) : PatchResult

    /** Another patch against the same version came first, or the base version never existed. */
    @Serializable
    @SerialName("conflict")
    data class Conflict(
        val currentVersion: Long,
        val winner: String?,
    ) : PatchResult

    /** The result of the patch would not be a valid configuration. */
    @Serializable
    @SerialName("invalid")
    data class Invalid(
        val errors: List<ConfigError>,
    ) : PatchResult
}

/** Describes an error at [path] (JSON path) with what was [found] and what is [expected]. */
@Serializable
data class ConfigError(
    val path: String,
    val found: String,
    val expected: String,
) {
    override fun toString(): String = "$path: found $found, expected $expected"
}
