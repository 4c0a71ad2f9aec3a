package dev.baobabhollow.proxy

import dev.baobabhollow.calls.AdmissionSettings
import dev.baobabhollow.calls.OutlierSettings
import dev.baobabhollow.calls.PickerSettings
import dev.baobabhollow.calls.RetryBudgetSettings
import dev.baobabhollow.model.Endpoint
import dev.baobabhollow.model.ServiceId

/** Configures the data plane of a node. */
data class ProxySettings(
    /** Address for callers; port 0 picks a free one. */
    val callersEndpoint: Endpoint,
    /** Number of event loop threads. */
    val eventLoops: Int = 2,
    val maxInitialLineBytes: Int = 8_192,
    val maxHeaderBytes: Int = 16_384,
    /** Longest request body; longer ones are refused with 413. */
    val maxRequestBodyBytes: Long = 256L * 1024 * 1024,
    /** Bytes of a request body that an entry node keeps so that it can send the request again. */
    val maxReplayBytes: Int = 32_768,
    /** Bytes of a request body that an owner collects before the call takes a slot, so that a slow sender holds none. */
    val bodyBufferBytes: Int = 65_536,
    /**
     * Most bytes that may come before the head of an answer: informational answers, and late ones to other calls with their
     * bodies. More of them are taken for bytes without end.
     */
    val maxStrayResponseBytes: Int = 262_144,
    /** Longest answer that is kept for a repeated idempotency key. */
    val maxStoredResponseBytes: Int = 16_384,
    /** Time for which an issued idempotency key is valid. */
    val keyLifetimeMillis: Long = 120_000,
    /** Most attempts for a call, the first one included. */
    val maxAttempts: Int = 3,
    /** Nested calls after which a call is taken for a loop. */
    val maxHops: Int = 64,
    /** Time by which each hop shortens the deadline, so that the inner hop reports first. */
    val hopMarginMillis: Long = 2,
    val connectTimeoutMillis: Int = 1_000,
    /** Must be below [callerIdleMillis], so that an entry node never reuses a connection that its owner is closing. */
    val upstreamIdleMillis: Long = 20_000,
    val callerIdleMillis: Long = 75_000,
    /** Time in which the rest of a refused request is read, because closing at once would destroy the answer. */
    val lingerMillis: Long = 1_000,
    val connectionsPerOwnerAndLoop: Int = 256,
    /** Headers that callers and targets speak. */
    val protocol: CallProtocol = MeshProtocol,
    /** Service on whose VM the node runs; its callers' calls are sent on in its name. */
    val callerService: ServiceId? = null,
    /** True if owners get the time left beside the deadline, because the clocks of the nodes differ. */
    val sendsRemainingTime: Boolean = false,
    /** True if callers of a route grant all calls the same time, so that what they state tells which ones come back. */
    val infersCallAge: Boolean = false,
    /** Time in milliseconds after which a node that lacks its configuration or any target probably has it, if known. */
    val notReadyRetryAfterMillis: Long? = null,
    /** Lag of the event loop above which calls are refused as not run, or null for no such limit. */
    val maxLoopLagMillis: Long? = null,
    /**
     * Lag of the event loop from which on a request waits until all connections have been read once more, because its caller
     * may have left. A tenth of the half second within which that must be noticed, since a call passes several loops.
     */
    val loopLagThresholdMillis: Long = 50,
    /** True if idempotent calls are also sent again when a target answers with a server error. */
    val retriesServerErrors: Boolean = false,
    /** True if a refusal by an owner node, which no target has seen, takes a retry from the budget. */
    val chargesRefusalsToRetryBudget: Boolean = true,
    /** Idle time in seconds after which the system probes a connection and, failing twice a second apart, closes it. */
    val keepAliveSeconds: Int? = null,
    val picker: PickerSettings = PickerSettings(),
    val outliers: OutlierSettings = OutlierSettings(),
    val retries: RetryBudgetSettings = RetryBudgetSettings(),
    val admission: AdmissionSettings = AdmissionSettings(),
)
