package dev.baobabhollow.membership

import dev.baobabhollow.model.Endpoint
import dev.baobabhollow.model.FailureDomainId
import dev.baobabhollow.model.NodeId
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * Message between nodes to detect failures and to spread node records. Every message carries its [sender], so that the
 * receiver can notify a live node that it is believed dead. Field names are short because they are on the wire.
 */
@Serializable
sealed interface MembershipMessage {
    /** Node that sent the message. */
    val sender: SenderRecord

    /** Node records that are piggybacked on the message. */
    val updates: List<CompactRecord>
}

/** Identity and control endpoint of the sender of a message. */
@Serializable
data class SenderRecord(
    @SerialName("n") val node: NodeId,
    @SerialName("d") val failureDomain: FailureDomainId,
    @SerialName("i") val incarnation: Long,
    @SerialName("h") val host: String,
    @SerialName("p") val port: Int,
) {
    /** Control endpoint of the sender. */
    val endpoint: Endpoint get() = Endpoint(host, port)
}

/** Requests an [Ack] from [target]. A node with another name at the same address does not respond. */
@Serializable
@SerialName("p")
internal data class Ping(
    @SerialName("s") override val sender: SenderRecord,
    @SerialName("u") override val updates: List<CompactRecord> = emptyList(),
    @SerialName("t") val target: NodeId,
    @SerialName("q") val sequence: Long,
) : MembershipMessage

/** Response to the probe [sequence]. [wantsRecord] asks the receiver to announce itself again. */
@Serializable
@SerialName("a")
internal data class Ack(
    @SerialName("s") override val sender: SenderRecord,
    @SerialName("u") override val updates: List<CompactRecord> = emptyList(),
    @SerialName("q") val sequence: Long,
    @SerialName("w") val wantsRecord: Boolean = false,
) : MembershipMessage

/** Asks the receiver to probe [target] at [host]:[port] and to forward its response. */
@Serializable
@SerialName("i")
internal data class PingRequest(
    @SerialName("s") override val sender: SenderRecord,
    @SerialName("u") override val updates: List<CompactRecord> = emptyList(),
    @SerialName("t") val target: NodeId,
    @SerialName("h") val host: String,
    @SerialName("p") val port: Int,
    @SerialName("q") val sequence: Long,
) : MembershipMessage

/** Carries updates that must not wait for the next probe. */
@Serializable
@SerialName("g")
internal data class Gossip(
    @SerialName("s") override val sender: SenderRecord,
    @SerialName("u") override val updates: List<CompactRecord> = emptyList(),
) : MembershipMessage

/** Hash of each domain's records. The receiver responds with the [Buckets] of domains that differ. */
@Serializable
@SerialName("d")
internal data class Digest(
    @SerialName("s") override val sender: SenderRecord,
    @SerialName("u") override val updates: List<CompactRecord> = emptyList(),
    @SerialName("h") val hashes: Map<FailureDomainId, Int>,
) : MembershipMessage

/** Hashes of the buckets into which the records of differing domains are split; empty if no domain differs. */
@Serializable
@SerialName("b")
internal data class Buckets(
    @SerialName("s") override val sender: SenderRecord,
    @SerialName("u") override val updates: List<CompactRecord> = emptyList(),
    @SerialName("b") val buckets: Map<FailureDomainId, List<Int>>,
) : MembershipMessage

/**
 * Records of buckets that differ. [complete] holds for each domain a bit set of the buckets whose records are all in
 * [updates]; the receiver returns its own records of these buckets that the sender lacks.
 */
@Serializable
@SerialName("r")
internal data class Records(
    @SerialName("s") override val sender: SenderRecord,
    @SerialName("u") override val updates: List<CompactRecord> = emptyList(),
    @SerialName("c") val complete: Map<FailureDomainId, Long> = emptyMap(),
) : MembershipMessage
