package dev.baobabhollow.model

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * One record of a log stream. A writer numbers its records from 1. When it retries an append after a lost response it
 * uses the same [sequence], so that readers can drop the duplicate.
 */
@Serializable
data class LogRecord(
    val writer: WriterId,
    val sequence: Long,
    val body: RecordBody,
)

/** A record with its [offset] and the time of the platform's clock at which it was appended. */
@Serializable
data class LogEntry(
    val offset: Long,
    val appendedAtMillis: Long,
    val record: LogRecord,
)

/** Content of a record. */
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

/** Proposes the next stage of [move]. Valid only while [follows] is its current stage. */
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

/** Replaces the whole configuration by [mesh] with [version]. Versions increase, but not necessarily by 1. */
@Serializable
@SerialName("configuration")
data class ConfigurationRecord(
    val version: Long,
    val mesh: MeshConfig,
) : RecordBody

/** Orders a move of all traffic of [service] to [release] within [durationMillis]. */
@Serializable
@SerialName("moveOrder")
data class MoveOrderRecord(
    val service: ServiceId,
    val release: ReleaseId,
    val durationMillis: Long,
) : RecordBody

/** Orders that the targets in [failureDomain] get no calls or, if [isEvacuated] is false, ends such an order. */
@Serializable
@SerialName("evacuation")
data class EvacuationRecord(
    val failureDomain: FailureDomainId,
    val isEvacuated: Boolean = true,
) : RecordBody

/**
 * Replaces all earlier [EvacuationRecord]s by the complete set of evacuated [failureDomains]. A read of the newest
 * record of each key does not show removed keys, so only the complete set tells which orders have ended.
 */
@Serializable
@SerialName("evacuationSet")
data class EvacuationSetRecord(
    val failureDomains: Set<FailureDomainId>,
) : RecordBody

/** Placeholder for a record that cannot be decoded. It only advances the offset. */
@Serializable
@SerialName("unreadable")
data class UnreadableRecord(
    val reason: String,
) : RecordBody

/** The whole state through [throughOffset], for readers that start after earlier records have expired. */
@Serializable
@SerialName("snapshot")
data class SnapshotRecord(
    val throughOffset: Long,
    val contentHash: String,
    val state: ConfigurationState,
) : RecordBody

/** A batch of claims and releases of idempotency keys. */
@Serializable
@SerialName("claims")
data class ClaimsRecord(
    val claims: List<KeyClaim>,
) : RecordBody

/**
 * Claims the idempotency key [key] for [claimant], or releases the claim if [release] is true. The key is valid until
 * [keyDeadlineMillis] of the platform's clock.
 */
@Serializable
data class KeyClaim(
    val key: String,
    val claimant: String,
    val keyDeadlineMillis: Long,
    val release: Boolean = false,
)
