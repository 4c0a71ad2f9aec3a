package dev.baobabhollow.membership

import dev.baobabhollow.model.Endpoint
import dev.baobabhollow.model.FailureDomainId
import dev.baobabhollow.model.NodeId
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * Is sent between nodes to detect failures and to spread node records. Every message carries its [sender], so that a node
 * that is wrongly held for dead is told so by the receiver. Field names are short because they are on the wire.
 */
@Serializable
sealed interface MembershipMessage {
    /** Node that sent the message. */
    val sender: SenderRecord

    /** Node records that ride along. */
    val updates: List<CompactRecord>
}

/** Identifies the sender of a message and says where it can be reached. */
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

/** Asks [target] for an [Ack]; a node of another name at the same address stays silent. */
@Serializable
@SerialName("p")
internal data class Ping(
    @SerialName("s") override val sender: SenderRecord,
    @SerialName("u") override val updates: List<CompactRecord> = emptyList(),
    @SerialName("t") val target: NodeId,
    @SerialName("q") val sequence: Long,
) : MembershipMessage

/** Answers the probe [sequence]. [wantsRecord] asks the receiver to announce itself again. */
@Serializable
@SerialName("a")
internal data class Ack(
    @SerialName("s") override val sender: SenderRecord,
    @SerialName("u") override val updates: List<CompactRecord> = emptyList(),
    @SerialName("q") val sequence: Long,
    @SerialName("w") val wantsRecord: Boolean = false,
) : MembershipMessage

/** Asks the receiver to probe [target] at [host]:[port] and to pass its answer on. */
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

/** Carries updates that do not wait for the next probe. */
@Serializable
@SerialName("g")
internal data class Gossip(
    @SerialName("s") override val sender: SenderRecord,
    @SerialName("u") override val updates: List<CompactRecord> = emptyList(),
) : MembershipMessage

/** Offers a hash of each domain's records. The receiver answers with the [Buckets] of domains that differ. */
@Serializable
@SerialName("d")
internal data class Digest(
    @SerialName("s") override val sender: SenderRecord,
    @SerialName("u") override val updates: List<CompactRecord> = emptyList(),
    @SerialName("h") val hashes: Map<FailureDomainId, Int>,
) : MembershipMessage

/** Splits the records of differing domains into hashed buckets; empty when no domain differs. */
@Serializable
@SerialName("b")
internal data class Buckets(
    @SerialName("s") override val sender: SenderRecord,
    @SerialName("u") override val updates: List<CompactRecord> = emptyList(),
    @SerialName("b") val buckets: Map<FailureDomainId, List<Int>>,
) : MembershipMessage

/**
 * Carries records of buckets that differ. [complete] holds for each domain a bit set of the buckets of which all records
 * of the sender are in [updates]; the receiver returns what the sender lacks of them.
 */
@Serializable
@SerialName("r")
internal data class Records(
    @SerialName("s") override val sender: SenderRecord,
    @SerialName("u") override val updates: List<CompactRecord> = emptyList(),
    @SerialName("c") val complete: Map<FailureDomainId, Long> = emptyMap(),
) : MembershipMessage
