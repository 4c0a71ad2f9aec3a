package dev.baobabhollow.model

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * Carries one record of a log stream. A writer numbers its records from 1 and repeats [sequence] when it appends a record
 * again after a lost answer, so that readers can drop the repeat.
 */
@Serializable
data class LogRecord(
    val writer: WriterId,
    val sequence: Long,
    val body: RecordBody,
)

/** Holds a record with the [offset] and the time of the platform's clock at which it was appended. */
@Serializable
data class LogEntry(
    val offset: Long,
    val appendedAtMillis: Long,
    val record: LogRecord,
)

/** Holds the content of a record. */
@Serializable
sealed interface RecordBody

/** Submits [patch] against [baseVersion]. */
@Serializable
@SerialName("patch")
data class PatchRecord(
    val baseVersion: Long,
    val operator: String,
    val patch: Patch,
) : RecordBody

/** Proposes the stage that comes after stage [follows] of [move]. */
@Serializable
@SerialName("moveStage")
data class MoveStageRecord(
    val move: MoveId,
    val follows: Int,
    val phase: MovePhase,
    val sharePermille: Int,
    val reason: String,
    val evidence: MoveEvidence,
) : RecordBody

/** Replaces the whole configuration by [mesh] as [version]. An operator's versions rise in steps of any size. */
@Serializable
@SerialName("configuration")
data class ConfigurationRecord(
    val version: Long,
    val mesh: MeshConfig,
) : RecordBody

/** Orders the move of all traffic of [service] to [release] within [durationMillis]. */
@Serializable
@SerialName("moveOrder")
data class MoveOrderRecord(
    val service: ServiceId,
    val release: ReleaseId,
    val durationMillis: Long,
) : RecordBody

/** Stands for a record that cannot be read. It changes nothing but the offset. */
@Serializable
@SerialName("unreadable")
data class UnreadableRecord(
    val reason: String,
) : RecordBody

/** Carries the whole state through [throughOffset] for readers whose earlier records have expired. */
@Serializable
@SerialName("snapshot")
data class SnapshotRecord(
    val throughOffset: Long,
    val contentHash: String,
    val state: ConfigurationState,
) : RecordBody

/** Claims or releases idempotency keys, many to a record. */
@Serializable
@SerialName("claims")
data class ClaimsRecord(
    val claims: List<KeyClaim>,
) : RecordBody

/**
 * Claims [key] for [claimant], or releases the claim if [release] is set. The key is valid until [keyDeadlineMillis] of
 * the platform's clock.
 */
@Serializable
data class KeyClaim(
    val key: String,
    val claimant: String,
    val keyDeadlineMillis: Long,
    val release: Boolean = false,
)
