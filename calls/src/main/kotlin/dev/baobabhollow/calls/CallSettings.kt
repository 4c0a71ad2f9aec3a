package dev.baobabhollow.calls

/** Configures how an entry node chooses targets. */
data class PickerSettings(
    /** Load of the better of two local targets, in permille of its slots, above which calls start to spill. */
    val spillStartPermille: Int = 700,
    /** Load in permille of the slots at which all calls spill. */
    val spillFullPermille: Int = 1_000,
    /** Time over which the weight of a target that is new to this node rises to its full value. */
    val slowStartMillis: Long = 10_000,
    /** Weight of a target at the start of its slow start, in permille. */
    val slowStartPermille: Int = 100,
    /** Time in which an observed latency or reported load loses half of its weight. */
    val observationHalfLifeMillis: Long = 2_000,
    /** How a target is chosen. */
    val selectionPolicy: SelectionPolicy = SelectionPolicy.LOCAL_FIRST,
    /** Least latency that a target of another failure domain costs beside its own, for the bytes between domains. */
    val remotePenaltyMicros: Long = 30_000,
    /** Such latency in permille of the time within which the answer is worth most, which a tenth hardly endangers. */
    val remotePenaltyObjectivePermille: Long = 100,
    /** What a kilobyte of the request's body adds to that: an upload of 60 KB then stays unless that costs it 300 ms. */
    val remotePenaltyMicrosPerKilobyte: Long = 4_500,
    /** Least latency that is assumed, since an old or unknown one would make the load of a target look unimportant. */
    val minLatencyMicros: Long = 40_000,
    /** Longest time without any answer from a target with calls in flight after which it gets no further ones. */
    val silenceMillis: Long = 1_500,
    /** Shortest such time, because pauses of a few hundred milliseconds are common on shared VMs. */
    val minSilenceMillis: Long = 500,
    /** Such time in usual latencies of the target; a call in a hundred takes about three times as long as most. */
    val silenceLatencies: Int = 4,
)

/** Names the ways of choosing a target. */
enum class SelectionPolicy {
    /** Prefers the own failure domain until its targets are loaded. */
    LOCAL_FIRST,

    /** Chooses the target that will probably answer first. Suits services with few targets of unequal speed. */
    SHORTEST_WAIT,
}

/** Configures ejection of targets whose calls fail. */
data class OutlierSettings(
    val consecutiveFailures: Int = 5,
    val windowMillis: Long = 10_000,
    val windowMinCalls: Int = 20,
    val windowErrorPermille: Int = 500,
    val baseEjectionMillis: Long = 2_000,
    val maxEjectionMillis: Long = 120_000,
    /** Time after which a probe call without a result no longer blocks the next one. */
    val probeMillis: Long = 5_000,
)

/** Configures retries of one service. */
data class RetryBudgetSettings(
    /** Retries for each thousand calls. */
    val ratioPermille: Int = 100,
    /** Retries that are always possible in a second, so that services with few calls can retry at all. */
    val minimumPerSecond: Int = 2,
    /** Most retries that can be saved up. */
    val maxSavedRetries: Int = 50,
    /** Most retries that all nodes together can save up, if that is limited; each node can always save one. */
    val sharedSavedRetries: Double? = null,
)

/** Configures admission at the owner of a target. */
data class AdmissionSettings(
    /** Length of the queue in permille of the slots. */
    val queuePermille: Int = 2_000,
    /** Most slots that uploads may hold together, in permille; at least one. */
    val uploadSlotsPermille: Int = 500,
    /** Service time assumed before the first call has finished. */
    val initialServiceMicros: Long = 5_000,
    /** Most calls, in permille of the slots, that wait although they will end too late to be worth much. */
    val lateQueuePermille: Int = 500,
)
