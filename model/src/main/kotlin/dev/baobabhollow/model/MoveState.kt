package dev.baobabhollow.model

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Share that stands for all calls of a service, in permille. */
const val FULL_SHARE_PERMILLE = 1_000

/** Placeholder for the old releases in the plan of an ordered move, because the order names only the new release. */
val OTHER_RELEASES = ReleaseId("others")

/** Phase of a move. */
@Serializable
enum class MovePhase(
    /** True if no further stage may follow. */
    val isFinal: Boolean,
) {
    /** The share of the new release increases step by step. */
    @SerialName("ramping")
    RAMPING(false),

    /** All calls go to the new release, and the old one remains available for a take-back. */
    @SerialName("watching")
    WATCHING(false),

    /** The move has succeeded. */
    @SerialName("done")
    DONE(true),

    /** The move was rolled back: the new release permanently receives no calls. */
    @SerialName("takenBack")
    TAKEN_BACK(true),
}

/**
 * State of one move. [stage] counts the accepted stages; the next stage record must state this number in
 * [MoveStageRecord.follows]. [sharePermille] is the share of the new release.
 */
@Serializable
data class MoveState(
    val plan: MovePlan,
    val startedBy: String,
    val stage: Int = 0,
    val phase: MovePhase = MovePhase.RAMPING,
    val sharePermille: Int = 0,
    val reason: String = "accepted",
    val evidence: MoveEvidence = MoveEvidence.NONE,
    val stageAtMillis: Long = 0,
    val fullShareAtMillis: Long? = null,
)

/** Counts of the calls on which the decision for a stage is based. */
@Serializable
data class MoveEvidence(
    val newCalls: Long,
    val newErrors: Long,
    val oldCalls: Long,
    val oldErrors: Long,
    val detail: String = "",
) {
    /** Contains the empty evidence. */
    companion object {
        /** Evidence of a decision that is not based on calls. */
        val NONE = MoveEvidence(0, 0, 0, 0)
    }
}
