package dev.baobabhollow.peers

import dev.baobabhollow.configuration.RecordBatch
import dev.baobabhollow.configuration.StateTransfer
import dev.baobabhollow.membership.MembershipMessage
import dev.baobabhollow.model.FailureDomainId
import dev.baobabhollow.model.MoveId
import dev.baobabhollow.model.NodeId
import dev.baobabhollow.model.OrderedStage
import dev.baobabhollow.model.OutcomeSummary
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.ByteString

/** Says which configuration state a node holds. [isConfirmed] is false until it was obtained from peers or the log. */
@Serializable
internal data class Position(
    @SerialName("o") val offset: Long,
    @SerialName("v") val version: Long,
    @SerialName("h") val contentHash: String,
    @SerialName("c") val isConfirmed: Boolean = true,
)

/** Is one UDP datagram. Field names are short because they are on the wire. */
@Serializable
internal data class PeerDatagram(
    @SerialName("m") val message: MembershipMessage,
    @SerialName("p") val position: Position,
    @SerialName("a") val alerts: List<MoveAlert> = emptyList(),
    @SerialName("s") val stages: List<OrderedStage> = emptyList(),
)

/** Tells all nodes to send no calls to the new release of [move] until the log has the final word. */
@Serializable
internal data class MoveAlert(
    @SerialName("m") val move: MoveId,
    @SerialName("s") val stage: Int,
    @SerialName("o") val origin: NodeId,
    @SerialName("r") val reason: String,
)

/** Is one TCP frame from node [from]. */
@Serializable
internal data class PeerFrame(
    @SerialName("n") val from: NodeId,
    @SerialName("d") val failureDomain: FailureDomainId,
    @SerialName("b") val body: FrameBody,
)

/** Holds a request or an answer. */
@Serializable
internal sealed interface FrameBody

/**
 * Asks for what comes after [afterOffset]; answered by [Push], [WholeState], [NothingNew] or [Refused]. [takesChanges] is
 * true if the records may hold changes in place of whole configurations, and [takesDeflated] if the answer may be [Deflated].
 */
@Serializable
@SerialName("pull")
internal data class Pull(
    val afterOffset: Long,
    val takesChanges: Boolean = false,
    val takesDeflated: Boolean = false,
) : FrameBody

/** Holds another body in CBOR, deflated. */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
@SerialName("deflated")
internal class Deflated(
    @ByteString val bytes: ByteArray,
) : FrameBody

/** Carries records; answered by [NothingNew] with the position of the receiver. */
@Serializable
@SerialName("push")
internal data class Push(
    val batch: RecordBatch,
) : FrameBody

/** Carries a whole state. */
@Serializable
@SerialName("state")
internal data class WholeState(
    val transfer: StateTransfer,
) : FrameBody

/** Says where the sender stands and that it has nothing else to give. */
@Serializable
@SerialName("nothing")
internal data class NothingNew(
    val position: Position,
) : FrameBody

/** Refuses a transfer because of the rate limit; the asker may try again after [retryAfterMillis]. */
@Serializable
@SerialName("refused")
internal data class Refused(
    val retryAfterMillis: Long,
) : FrameBody

/**
 * Carries call outcomes of one move to its lead; answered by [NothingNew]. [isLeadSilent] tells the receiver that no lead
 * answers, so that it shall judge for its domain.
 */
@Serializable
@SerialName("outcomes")
internal data class Outcomes(
    val summaries: List<OutcomeSummary>,
    val isLeadSilent: Boolean = false,
) : FrameBody
