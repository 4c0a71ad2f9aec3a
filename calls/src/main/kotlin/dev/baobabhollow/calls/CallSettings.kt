package dev.baobabhollow.calls

/** Settings of target selection on an entry node. */
data class PickerSettings(
    /**
     * Load of the better of two local targets, in permille of its slots, above which some calls go to other domains.
     */
    val spillStartPermille: Int = 700,
    /** Load in permille of the slots at which all calls go to other failure domains. */
    val spillFullPermille: Int = 1_000,
    /** Time over which the weight of a target that is new to this node rises to its full value (slow start). */
    val slowStartMillis: Long = 10_000,
    /** Weight of a target at the start of its slow start, in permille. */
    val slowStartPermille: Int = 100,
    /** Half-life of the weight of an observed latency or reported load. */
    val observationHalfLifeMillis: Long = 2_000,
    /** Policy by which a target is selected. */
    val selectionPolicy: SelectionPolicy = SelectionPolicy.LOCAL_FIRST,
    /** Least latency penalty of a target in another failure domain, for the traffic between domains. */
    val remotePenaltyMicros: Long = 30_000,
    /** Such penalty in permille of the call's latency objective. A tenth of the objective hardly puts it at risk. */
    val remotePenaltyObjectivePermille: Long = 100,
    /**
     * Addition to the penalty per kilobyte of request body: an upload of 60 KB leaves its domain only to save 300 ms.
     */
    val remotePenaltyMicrosPerKilobyte: Long = 4_500,
    /** Least latency that is assumed of a target: with an outdated or unknown one, its load would hardly count. */
    val minLatencyMicros: Long = 40_000,
    /** Upper bound of the time without any response after which a target with calls in flight gets no further ones. */
    val silenceMillis: Long = 1_500,
    /** Lower bound of that time: pauses of a few hundred milliseconds are common on shared VMs. */
    val minSilenceMillis: Long = 500,
    /** That time as a multiple of the target's average latency. About 1 % of calls take three times as long as most. */
    val silenceLatencies: Int = 4,
    /** Weights of the decision how many calls leave the failure domain, or null to decide for each call alone. */
    val leaving: LeavingSettings? = null,
)

/** Policies for selecting a target. */
enum class SelectionPolicy {
    /** Prefers targets of the node's own failure domain until they are loaded. */
    LOCAL_FIRST,

    /**
     * Selects the target with the shortest expected response time. Suits services with few targets of unequal speed.
     */
    SHORTEST_WAIT,
}

/** Settings for the ejection of targets whose calls fail. */
data class OutlierSettings(
    val consecutiveFailures: Int = 5,
    val windowMillis: Long = 10_000,
    val windowMinCalls: Int = 20,
    val windowErrorPermille: Int = 500,
    val baseEjectionMillis: Long = 2_000,
    val maxEjectionMillis: Long = 120_000,
    /** Time after which another probe call may be sent if the last one has no result. */
    val probeMillis: Long = 5_000,
)

/** Settings for the retries of one service. */
data class RetryBudgetSettings(
    /** Retries allowed per thousand calls. */
    val ratioPermille: Int = 100,
    /** Retries per second that are allowed when none is saved up, so that services with few calls can retry at all. */
    val minimumPerSecond: Int = 2,
    /** Maximum number of retries that can be saved up. */
    val maxSavedRetries: Int = 50,
    /** Maximum number of retries that all nodes together can save up, or null. Each node can always save one. */
    val sharedSavedRetries: Double? = null,
)

/**
 * Bound of the requests that a cold target gets in any second: the rate that it can handle times [overShare], and
 * [slack] requests.
 */
data class ColdTargetSettings(
    val overShare: Double,
    val slack: Double,
)

/** Settings for admission on the owner node of a target. */
data class AdmissionSettings(
    /** Maximum length of the queue in permille of the slots. */
    val queuePermille: Int = 2_000,
    /** Maximum share of the slots that uploads may hold together, in permille, but at least one slot. */
    val uploadSlotsPermille: Int = 500,
    /** Service time that is assumed before the first measurement. */
    val initialServiceMicros: Long = 5_000,
    /** Maximum number of waiting calls that will end after their useful time, in permille of the slots. */
    val lateQueuePermille: Int = 500,
)
