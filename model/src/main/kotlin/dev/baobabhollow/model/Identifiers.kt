package dev.baobabhollow.model

import kotlinx.serialization.Serializable

/** Identifies a member, a customer of the consortium that shares the mesh. */
@JvmInline
@Serializable
value class MemberId(
    val value: String,
) {
    override fun toString(): String = value
}

/** Identifies a service of the mesh. */
@JvmInline
@Serializable
value class ServiceId(
    val value: String,
) : Comparable<ServiceId> {
    override fun compareTo(other: ServiceId): Int = value.compareTo(other.value)

    override fun toString(): String = value
}

/** Identifies a route. */
@JvmInline
@Serializable
value class RouteId(
    val value: String,
) : Comparable<RouteId> {
    override fun compareTo(other: RouteId): Int = value.compareTo(other.value)

    override fun toString(): String = value
}

/** Identifies a tenant, a customer whose callers present API keys. */
@JvmInline
@Serializable
value class TenantId(
    val value: String,
) : Comparable<TenantId> {
    override fun compareTo(other: TenantId): Int = value.compareTo(other.value)

    override fun toString(): String = value
}

/** Identifies a release (back-end version) within its service. */
@JvmInline
@Serializable
value class ReleaseId(
    val value: String,
) : Comparable<ReleaseId> {
    override fun compareTo(other: ReleaseId): Int = value.compareTo(other.value)

    override fun toString(): String = value
}

/** Identifies a node. A VM that is replaced gets a new identifier; a restarted process keeps it. */
@JvmInline
@Serializable
value class NodeId(
    val value: String,
) : Comparable<NodeId> {
    override fun compareTo(other: NodeId): Int = value.compareTo(other.value)

    override fun toString(): String = value
}

/** Identifies a failure domain. */
@JvmInline
@Serializable
value class FailureDomainId(
    val value: String,
) : Comparable<FailureDomainId> {
    override fun compareTo(other: FailureDomainId): Int = value.compareTo(other.value)

    override fun toString(): String = value
}

/** Identifies a move of traffic between two releases of a service. */
@JvmInline
@Serializable
value class MoveId(
    val value: String,
) : Comparable<MoveId> {
    override fun compareTo(other: MoveId): Int = value.compareTo(other.value)

    override fun toString(): String = value
}

/**
 * Identifies a writer of log records. Each process start uses a new one, so that the sequence of a writer never
 * restarts.
 */
@JvmInline
@Serializable
value class WriterId(
    val value: String,
) {
    override fun toString(): String = value
}

/** Names a stream of the platform log. */
@JvmInline
@Serializable
value class StreamName(
    val value: String,
) {
    override fun toString(): String = value

    /** Contains the names of the streams. */
    companion object {
        /** Stream of patches, whole configurations, move orders, move stages and snapshots. */
        val CONFIGURATION = StreamName("configuration")

        /** Returns the stream of idempotency claims for [partition]. */
        fun claims(partition: Int) = StreamName("claims-$partition")
    }
}
