package dev.baobabhollow.peers

import dev.baobabhollow.configuration.RecordBatch
import dev.baobabhollow.configuration.StateTransfer
import dev.baobabhollow.membership.MembershipMessage
import dev.baobabhollow.model.FailureDomainId
import dev.baobabhollow.model.LogPosition
import dev.baobabhollow.model.MoveId
import dev.baobabhollow.model.NodeId
import dev.baobabhollow.model.OrderedStage
import dev.baobabhollow.model.OutcomeSummary
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.ByteString

/**
 * Position of a node's configuration state: the [era] of the log and the offset within it. [isConfirmed] is false until
 * peers or the log have provided the state.
 */
@Serializable
internal data class Position(
    @SerialName("o") val offset: Long,
    @SerialName("v") val version: Long,
    @SerialName("h") val contentHash: String,
    @SerialName("c") val isConfirmed: Boolean = true,
    @SerialName("e") val era: Long = 0,
) {
    val logPosition: LogPosition get() = LogPosition(era, offset)
}

/**
 * Content of one UDP datagram. Serial names are short to save bytes on the wire. [sentAtMillis] is the reading of the
 * sender's clock, to which the times of [stages] refer; it is null without stages.
 */
@Serializable
internal data class PeerDatagram(
    @SerialName("m") val message: MembershipMessage,
    @SerialName("p") val position: Position,
    @SerialName("a") val alerts: List<MoveAlert> = emptyList(),
    @SerialName("s") val stages: List<OrderedStage> = emptyList(),
    @SerialName("t") val sentAtMillis: Long? = null,
)

/** Asks all nodes to send no calls to the new release of [move] until the log holds the final stage of the move. */
@Serializable
internal data class MoveAlert(
    @SerialName("m") val move: MoveId,
    @SerialName("s") val stage: Int,
    @SerialName("o") val origin: NodeId,
    @SerialName("r") val reason: String,
)

/** Content of one TCP frame, sent by node [from]. */
@Serializable
internal data class PeerFrame(
    @SerialName("n") val from: NodeId,
    @SerialName("d") val failureDomain: FailureDomainId,
    @SerialName("b") val body: FrameBody,
)

/** Request or response. */
@Serializable
internal sealed interface FrameBody

/**
 * Requests the records after [afterOffset]. The response is a [Push], [WholeState], [NothingNew] or [Refused].
 * [takesChanges] is true if the sender accepts changes in place of full configurations, and [takesDeflated] if it
 * accepts a [Deflated] response. In eras of the log above 0, [contentHash] is that of the sender's state, which a
 * receiver at the same position answers with its own state if that differs.
 */
@Serializable
@SerialName("pull")
internal data class Pull(
    val afterOffset: Long,
    val takesChanges: Boolean = false,
    val takesDeflated: Boolean = false,
    val era: Long = 0,
    val contentHash: String? = null,
) : FrameBody

/** Another body, encoded as CBOR and compressed with DEFLATE. */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
@SerialName("deflated")
internal class Deflated(
    @ByteString val bytes: ByteArray,
) : FrameBody

/** Records of the configuration stream. The response is a [NothingNew] with the position of the receiver. */
@Serializable
@SerialName("push")
internal data class Push(
    val batch: RecordBatch,
) : FrameBody

/** Full configuration state. */
@Serializable
@SerialName("state")
internal data class WholeState(
    val transfer: StateTransfer,
) : FrameBody

/** Response without content; holds the position of its sender. */
@Serializable
@SerialName("nothing")
internal data class NothingNew(
    val position: Position,
) : FrameBody

/** Refusal of a state transfer because of the rate limit; the requester may retry after [retryAfterMillis]. */
@Serializable
@SerialName("refused")
internal data class Refused(
    val retryAfterMillis: Long,
) : FrameBody

/**
 * Call outcomes of one move. The response is a [NothingNew]. [isLeadSilent] is true if no lead responds: then the
 * receiver judges the move for its failure domain.
 */
@Serializable
@SerialName("outcomes")
internal data class Outcomes(
    val summaries: List<OutcomeSummary>,
    val isLeadSilent: Boolean = false,
) : FrameBody
