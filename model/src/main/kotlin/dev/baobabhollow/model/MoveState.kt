package dev.baobabhollow.model

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** The share of all calls of a service, in permille. */
const val FULL_SHARE_PERMILLE = 1_000

/** Stands for all releases but the new one in the plan of an ordered move: the order names only the new one. */
val OTHER_RELEASES = ReleaseId("others")

/** Names the phase of a move. */
@Serializable
enum class MovePhase(
    /** Tells whether no further stage may follow. */
    val isFinal: Boolean,
) {
    /** The share of the new release rises. */
    @SerialName("ramping")
    RAMPING(false),

    /** All calls go to the new release; the old one stays usable. */
    @SerialName("watching")
    WATCHING(false),

    /** The move has succeeded. */
    @SerialName("done")
    DONE(true),

    /** The new release has lost all calls for good. */
    @SerialName("takenBack")
    TAKEN_BACK(true),
}

/**
 * Holds the state of one move. [stage] counts the accepted stage records; the next one must name it.
 * [sharePermille] is the share of the new release.
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

/** Sums up the calls that a stage decision rests on. */
@Serializable
data class MoveEvidence(
    val newCalls: Long,
    val newErrors: Long,
    val oldCalls: Long,
    val oldErrors: Long,
    val detail: String = "",
) {
    /** Holds the evidence of a decision that rests on no calls. */
    companion object {
        /** Counts nothing. */
        val NONE = MoveEvidence(0, 0, 0, 0)
    }
}
