package dev.baobabhollow.membership

import dev.baobabhollow.model.Endpoint
import dev.baobabhollow.model.FailureDomainId
import dev.baobabhollow.model.NodeId
import dev.baobabhollow.model.NodeRecord
import dev.baobabhollow.model.NodeStatus
import dev.baobabhollow.model.ReleaseId
import dev.baobabhollow.model.ServiceId
import dev.baobabhollow.model.TargetRecord
import dev.baobabhollow.model.TargetStatus
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Compact wire form of a [NodeRecord]. A host that equals the control host, as is usual, is left out. */
@Serializable
data class CompactRecord(
    @SerialName("n") val node: NodeId,
    @SerialName("d") val failureDomain: FailureDomainId,
    @SerialName("i") val incarnation: Long,
    @SerialName("s") val status: NodeStatus = NodeStatus.ALIVE,
    @SerialName("h") val host: String,
    @SerialName("c") val controlPort: Int,
    @SerialName("p") val peerCallPort: Int,
    @SerialName("o") val operatorPort: Int,
    @SerialName("ph") val peerCallHost: String? = null,
    @SerialName("oh") val operatorHost: String? = null,
    @SerialName("t") val target: CompactTarget? = null,
) {
    /** Upper bound of the encoded size in bytes. */
    internal val maxBytes: Int
        get() =
            RECORD_OVERHEAD_BYTES + strings().sumOf { it.encodeToByteArray().size } +
                if (target?.coldPerSecond == null) 0 else COLD_BYTES

    private fun strings() =
        listOfNotNull(
            node.value,
            failureDomain.value,
            host,
            peerCallHost,
            operatorHost,
            target?.service?.value,
            target?.release?.value,
            target?.instance,
        )

    /** Returns the full record. */
    fun toRecord(): NodeRecord =
        NodeRecord(
            node = node,
            failureDomain = failureDomain,
            incarnation = incarnation,
            status = status,
            controlEndpoint = Endpoint(host, controlPort),
            peerCallEndpoint = Endpoint(peerCallHost ?: host, peerCallPort),
            operatorEndpoint = Endpoint(operatorHost ?: host, operatorPort),
            target = target?.toRecord(),
        )

    /** Conversion from full records. */
    companion object {
        /** Upper bound of the keys, lengths and numbers of a record with a target. */
        private const val RECORD_OVERHEAD_BYTES = 100

        /** Key and value of [CompactTarget.coldPerSecond]. */
        private const val COLD_BYTES = 11

        /** Returns the compact form of [record]. */
        fun of(record: NodeRecord): CompactRecord {
            val host = record.controlEndpoint.host
            return CompactRecord(
                node = record.node,
                failureDomain = record.failureDomain,
                incarnation = record.incarnation,
                status = record.status,
                host = host,
                controlPort = record.controlEndpoint.port,
                peerCallPort = record.peerCallEndpoint.port,
                operatorPort = record.operatorEndpoint.port,
                peerCallHost = record.peerCallEndpoint.host.takeIf { it != host },
                operatorHost = record.operatorEndpoint.host.takeIf { it != host },
                target = record.target?.let(CompactTarget::of),
            )
        }
    }
}

/** Compact wire form of a [TargetRecord]. */
@Serializable
data class CompactTarget(
    @SerialName("v") val service: ServiceId,
    @SerialName("r") val release: ReleaseId,
    @SerialName("l") val slots: Int,
    @SerialName("k") val connections: Int,
    @SerialName("s") val status: TargetStatus = TargetStatus.SERVING,
    @SerialName("i") val instance: String? = null,
    @SerialName("w") val coldPerSecond: Double? = null,
) {
    /** Returns the full record. */
    fun toRecord(): TargetRecord = TargetRecord(service, release, slots, connections, status, instance, coldPerSecond)

    /** Conversion from full target records. */
    companion object {
        /** Returns the compact form of [target]. */
        fun of(target: TargetRecord): CompactTarget =
            CompactTarget(
                target.service,
                target.release,
                target.slots,
                target.connections,
                target.status,
                target.instance,
                target.coldPerSecond,
            )
    }
}
