package dev.baobabhollow.membership

/**
 * Settings of the failure detector and of reconciliation. All times are in milliseconds.
 *
 * A suspicion lasts [suspicionFactor] probe periods times the decimal logarithm of the domain's size (at least 1), so
 * that a refutation has time to spread in a large domain.
 */
data class MembershipSettings(
    val probePeriodMillis: Long = 1_000,
    val directProbeMillis: Long = 350,
    val indirectProbes: Int = 3,
    val suspicionFactor: Double = 4.0,
    val urgentPeriodMillis: Long = 200,
    val urgentFanOut: Int = 4,
    val digestPeriodMillis: Long = 1_000,
    val retransmissionFactor: Int = 3,
    val deadMemoryMillis: Long = 3_600_000,
    val isolatedAfterMillis: Long = 3_000,
    val isolationGraceMillis: Long = 30_000,
    /** Longer steps of the clock do not count as elapsed time: the process was paused or the clock was set. */
    val maxStepMillis: Long = 1_000,
    /** Leaves 200 bytes of a datagram of 1,200 bytes for what the caller adds to a message. */
    val maxMessageBytes: Int = 1_000,
    /** Longer records are rejected, because they would leave no room for others in a message. */
    val maxRecordBytes: Int = 500,
    val maxNodes: Int = 20_000,
    val maxDeadNodes: Int = 4_096,
    /** Maximum number of datagrams that reconciliation sends per [digestPeriodMillis]. */
    val maxReconciliationMessages: Int = 48,
)
