package dev.baobabhollow.model

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Offset before that of the first record of a stream. */
const val NO_OFFSET = -1L

/**
 * Result of folding the configuration stream through [offset]. All readers that fold the same records reach equal
 * states.
 *
 * [era] is that of the log, and offsets of different eras are not comparable. At the start of an era the state keeps the
 * configuration and the orders of the previous one until the log holds newer ones. [eraStarts] holds, for each era, the
 * lowest offset whose record is known to have been written in that era: earlier records may come from the copy from
 * which the log returned.
 *
 * [currentReleases] maps each service to the release that receives all calls except the share of a running move.
 * Targets in [evacuatedDomains], which are sorted by name, get no calls.
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
    val evacuatedDomains: Set<FailureDomainId> = emptySet(),
    val era: Long = 0,
    val eraStarts: Map<Long, Long> = emptyMap(),
) {
    /** Contains the initial state. */
    companion object {
        /** The state before the first record, with version 0. */
        val INITIAL = ConfigurationState()
    }
}

/**
 * The newest order to move the traffic of a service to [release] within [durationMillis]. Only operators write the
 * stream that contains the order, so the stages of the move are stored outside of it; see [OrderedStage].
 */
@Serializable
data class MoveOrder(
    val move: MoveId,
    val release: ReleaseId,
    val durationMillis: Long,
)

/** The last [sequence] of a writer and the log time of its last record. */
@Serializable
data class WriterState(
    val sequence: Long,
    val seenAtMillis: Long,
)

/** The [result] of a submitted patch, with the writer, the sequence and the offset that identify it. */
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

/** Result of a submitted patch. */
@Serializable
sealed interface PatchResult {
    /** The patch created [version]. */
    @Serializable
    @SerialName("accepted")
    data class Accepted(
        val version: Long,
    ) : PatchResult

    /**
     * Another patch against the same base version was accepted first, and [winner] is its operator; or the base version
     * never existed.
     */
    @Serializable
    @SerialName("conflict")
    data class Conflict(
        val currentVersion: Long,
        val winner: String?,
    ) : PatchResult

    /** The patch would have led to an invalid configuration. */
    @Serializable
    @SerialName("invalid")
    data class Invalid(
        val errors: List<ConfigError>,
    ) : PatchResult
}

/** An error at [path], a JSON path, with what was [found] and what was [expected]. */
@Serializable
data class ConfigError(
    val path: String,
    val found: String,
    val expected: String,
) {
    override fun toString(): String = "$path: found $found, expected $expected"
}
