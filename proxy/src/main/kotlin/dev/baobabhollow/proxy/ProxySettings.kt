package dev.baobabhollow.proxy

import dev.baobabhollow.calls.AdmissionSettings
import dev.baobabhollow.calls.ColdTargetSettings
import dev.baobabhollow.calls.OutlierSettings
import dev.baobabhollow.calls.PickerSettings
import dev.baobabhollow.calls.RetryBudgetSettings
import dev.baobabhollow.model.Endpoint
import dev.baobabhollow.model.ServiceId
import io.netty.util.internal.PlatformDependent

/** Heap of an idle connection with its handlers: 2,600 bytes measured, rounded up. */
private const val CONNECTION_BYTES = 3_072L

/** Connections may take a third of the heap, so that calls and the configuration keep the rest. */
private const val CONNECTIONS_DIVISOR = 3

/** Settings of the data plane of a node. */
data class ProxySettings(
    /** Address for callers; port 0 picks a free one. */
    val callersEndpoint: Endpoint,
    /** Number of event loop threads. */
    val eventLoops: Int = 2,
    val maxInitialLineBytes: Int = 8_192,
    val maxHeaderBytes: Int = 16_384,
    /** Longest request body; longer ones are refused with 413. */
    val maxRequestBodyBytes: Long = 256L * 1024 * 1024,
    /** Longest request body that an entry node buffers for retries; calls with longer ones are not retried. */
    val maxReplayBytes: Int = 32_768,
    /**
     * Most bytes that the calls and connections of a node may hold in all, for requests and responses. The default is
     * half of the direct memory of the JVM, since buffers that are only partly used take the other half.
     */
    val maxHeldBytes: Long = PlatformDependent.maxDirectMemory() / 2,
    /**
     * Most connections of callers and entry nodes; beyond them, those of callers that have been idle for longest are
     * closed. The default is what a third of the JVM's heap holds.
     */
    val maxConnections: Int = (Runtime.getRuntime().maxMemory() / CONNECTIONS_DIVISOR / CONNECTION_BYTES).toInt(),
    /** Bytes of a request body that an owner buffers before the call takes a slot, so that a slow sender holds none. */
    val bodyBufferBytes: Int = 65_536,
    /**
     * Most bytes that may precede the head of a response: informational responses, and late responses to other calls. A
     * target that sends more is assumed to send without end, and the call fails.
     */
    val maxStrayResponseBytes: Int = 262_144,
    /** Longest response that is stored for a repeated idempotency key. */
    val maxStoredResponseBytes: Int = 16_384,
    /** Time for which an issued idempotency key is valid. */
    val keyLifetimeMillis: Long = 120_000,
    /** Most attempts for a call, including the first one. */
    val maxAttempts: Int = 3,
    /** Most nested calls; a deeper call is refused as a probable routing loop. */
    val maxHops: Int = 64,
    /** Time by which each hop shortens the deadline, so that the inner hop reports its timeout first. */
    val hopMarginMillis: Long = 2,
    val connectTimeoutMillis: Int = 1_000,
    /** Less than [callerIdleMillis], so that an entry node never reuses a connection that its owner is closing. */
    val upstreamIdleMillis: Long = 20_000,
    val callerIdleMillis: Long = 75_000,
    /** Time for which the rest of a refused request is read; closing at once could discard the response. */
    val lingerMillis: Long = 1_000,
    /** Most requests of one connection that are executed at the same time. */
    val maxPipelinedCalls: Int = 32,
    /** Bytes of requests that may wait on one connection for their turn before it is read no further. */
    val maxWaitingRequestBytes: Long = 65_536,
    /** Bytes of a response that are buffered while earlier responses of its connection are incomplete. */
    val maxBufferedResponseBytes: Long = 65_536,
    val connectionsPerOwnerAndLoop: Int = 256,
    /** Conversion of the headers that callers and targets use. */
    val protocol: CallProtocol = MeshProtocol,
    /** Service on whose VM the node runs; calls of its callers are attributed to it. */
    val callerService: ServiceId? = null,
    /** True if owners also get the remaining time of a call, because the clocks of nodes differ. */
    val sendsRemainingTime: Boolean = false,
    /** True if callers use the same timeout for all calls of a route, so that a shorter one indicates a retry. */
    val infersCallAge: Boolean = false,
    /** Retry-after time in milliseconds for refusals while the node has no configuration or no target, if any. */
    val notReadyRetryAfterMillis: Long? = null,
    /** Lag of the event loop above which calls are refused as not run, or null for no limit. */
    val maxLoopLagMillis: Long? = null,
    /**
     * Lag of the event loop from which on a request waits until all connections have been read once more, because its
     * caller may have disconnected. That must be noticed within 500 ms; one loop may take a tenth of that, because
     * a call passes several loops.
     */
    val loopLagThresholdMillis: Long = 50,
    /** True if idempotent calls are also retried after a server error of a target. */
    val retriesServerErrors: Boolean = false,
    /** True if a retry after a refusal by an owner node, which reached no target, is charged to the retry budget. */
    val chargesRefusals: Boolean = true,
    /** Idle time in seconds before TCP keep-alive; two failed probes a second apart close the connection. */
    val keepAliveSeconds: Int? = null,
    val picker: PickerSettings = PickerSettings(),
    val outliers: OutlierSettings = OutlierSettings(),
    val retries: RetryBudgetSettings = RetryBudgetSettings(),
    val admission: AdmissionSettings = AdmissionSettings(),
    /** Bound of the requests to a cold target, or null for none. */
    val coldTargets: ColdTargetSettings? = null,
) {
    /** Most connections that one event loop serves. */
    internal val maxConnectionsPerLoop: Int get() = (maxConnections / eventLoops).coerceAtLeast(1)
}
