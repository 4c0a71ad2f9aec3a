package dev.baobabhollow.proxy

import dev.baobabhollow.calls.Admission
import dev.baobabhollow.calls.CallAgeEstimator
import dev.baobabhollow.calls.ColdTargetLimiter
import dev.baobabhollow.calls.OutlierDetector
import dev.baobabhollow.calls.Refusal
import dev.baobabhollow.calls.ResponseSizeEstimator
import dev.baobabhollow.calls.RetryBudgets
import dev.baobabhollow.calls.Route
import dev.baobabhollow.calls.RoutingTable
import dev.baobabhollow.calls.TargetPicker
import dev.baobabhollow.model.Endpoint
import dev.baobabhollow.model.NodeId
import dev.baobabhollow.model.NodeRecord
import dev.baobabhollow.model.TargetStatus
import dev.baobabhollow.model.TenantId
import io.netty.channel.EventLoop
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpUtil
import org.apache.logging.log4j.LogManager
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.ThreadLocalRandom
import java.util.concurrent.atomic.AtomicInteger

/** State and functions shared by all exchanges of a node. */
internal class NodeCore(
    val settings: ProxySettings,
    self: NodeRecord,
    val tables: () -> RoutingTable,
    private val targetEndpoint: Endpoint?,
    val nowMillis: () -> Long,
    val recorder: OutcomeRecorder,
    val claims: KeyClaims,
    val metrics: ProxyMetrics,
    val quotas: CallQuotas = NoCallQuotas,
) {
    @Volatile
    var self: NodeRecord = self
        private set

    @Volatile
    var isDraining = false
        private set

    /** True once responses ask callers to close their connections. */
    @Volatile
    var isClosing = false
        private set

    /** Time at which the calls in flight end if the node stops. */
    @Volatile
    private var drainUntilMillis = Long.MAX_VALUE

    val memory = HeldMemory(settings.maxHeldBytes)
    val coldLimiter =
        settings.coldTargets?.takeIf { targetEndpoint != null }?.let { ColdTargetLimiter(it, nowMillis()) }
    val coldGuard = coldLimiter?.let { ColdTargetGuard(this, it) }
    val admission = Admission(settings.admission, self.target?.slots ?: 1, coldLimiter)
    val targetEstimate = TargetEstimate(this)
    val outliers = OutlierDetector(settings.outliers)
    val budgets = RetryBudgets(settings.retries)
    val callAgeEstimator = CallAgeEstimator()
    val responseSizes = ResponseSizeEstimator()
    val picker =
        TargetPicker(settings.picker, self.node, outliers) {
            if (targetEndpoint ==
                null
            ) {
                0
            } else {
                admission.freeSlots
            }
        }
    private val targetLimit = ConnectionLimit(self.target?.connections ?: 1)
    private val loops = ConcurrentHashMap<EventLoop, LoopPools>()
    private val exchanges = AtomicInteger()
    private val callLog = CallLog(nowMillis)
    private val idleLock = Object()

    /** Number of calls in flight on both ports. */
    val inFlight: Int get() = exchanges.get()

    /** True while the operator orders that the target of this node gets no calls. */
    val isEvacuated: Boolean get() = self.failureDomain in tables().evacuatedDomains

    val hasTarget: Boolean get() = targetEndpoint != null && self.target != null

    fun pools(loop: EventLoop): LoopPools = loops[loop] ?: loops.computeIfAbsent(loop) { newPools(it) }

    private fun newPools(loop: EventLoop): LoopPools {
        val lag = LoopLag(nowMillis)
        val isLagging = { lag.millis >= settings.loopLagThresholdMillis }
        val target =
            targetEndpoint?.let {
                ConnectionPool(
                    loop,
                    it,
                    settings,
                    targetLimit,
                    nowMillis,
                    isLagging,
                    memory,
                )
            }
        val owners = OwnerPools(loop, settings, nowMillis, isLagging, memory)
        return LoopPools(owners, target, lag, OpenConnections(settings.maxConnectionsPerLoop, ::closeForRoom))
    }

    private fun closeForRoom(connection: DownstreamHandler) {
        callLog.write { "event=connection_closed reason=connection-limit limit=${settings.maxConnections}" }
        connection.closeIfIdle()
    }

    /** Returns the refusal of a new call while the lag of [loop] exceeds the limit, or null. Call on that loop. */
    fun lagRefusal(loop: EventLoop): CallFailure? {
        val limit = settings.maxLoopLagMillis ?: return null
        val lag = pools(loop).lag.millis
        return if (lag > limit) CallFailure.notRun(FailureReason.NODE_BUSY).copy(retryAfterMillis = lag) else null
    }

    /** Returns the refusal of the call [head] while the node holds too much for other calls, or null. */
    fun memoryRefusal(
        callId: String?,
        head: HttpRequest,
    ): CallFailure? {
        if (memory.allowsCall(heldBodyBytes(head))) return null
        callLog.write { "event=call_refused call=$callId reason=memory-limit held_bytes=${memory.bytes}" }
        return CallFailure.memoryLimit()
    }

    /** Logs that a connection is closed because its head is long or incomplete while memory is full. */
    fun logMemoryClose() = callLog.write { "event=connection_closed reason=memory-limit held_bytes=${memory.bytes}" }

    /** True if a response may be held back until those to earlier requests of its connection are complete. */
    fun allowsBufferedResponse(): Boolean = memory.allowsCall(settings.maxBufferedResponseBytes)

    private fun heldBodyBytes(head: HttpRequest): Long {
        val most = settings.bodyBufferBytes.toLong()
        return if (HttpUtil.isTransferEncodingChunked(head)) most else minOf(HttpUtil.getContentLength(head, 0L), most)
    }

    /** Returns the refusal of a call while the node has no configuration or no target yet. */
    fun startupRefusal(reason: FailureReason) =
        CallFailure.notRun(reason).copy(retryAfterMillis = settings.notReadyRetryAfterMillis)

    /** Returns the failure of a call that [admission] has refused, with the state of the local target. */
    fun failureOf(refusal: Refusal): CallFailure {
        val coldMillis = if (refusal == Refusal.COLD_TARGET) coldGuard?.retryAfterMillis() else null
        return CallFailure.of(refusal).copy(
            retryAfterMillis = coldMillis ?: admission.estimatedWaitMillis(),
            loadPermille = admission.loadPermille,
            estimate = targetEstimate.current(),
        )
    }

    fun update(self: NodeRecord) {
        this.self = self
        val target = self.target ?: return admission.drain()
        coldGuard?.configure(tables())
        targetLimit.max = target.connections
        admission.resize(minOf(target.slots, target.connections), nowMicros(), nowMillis())
        if (isDraining || target.status != TargetStatus.SERVING) admission.drain() else admission.resume()
    }

    fun forgetAbsent(table: RoutingTable) {
        coldGuard?.configure(table)
        picker.retain(table.nodes)
        outliers.retain(table.nodes)
        budgets.retain(table.services.keys)
        budgets.nodes = table.nodes.size
        callAgeEstimator.retain(table.routeIds)
        responseSizes.retain(table.routeIds)
        targetEstimate.retain(table.routeIds)
    }

    fun close(drainUntilMillis: Long) {
        this.drainUntilMillis = drainUntilMillis
        isClosing = true
    }

    /** True if a call with this [deadlineMillis] may still be in flight when the node stops, and may not be repeated. */
    fun mayOutlastStop(
        route: Route,
        deadlineMillis: Long,
    ) = !route.config.idempotent && deadlineMillis > drainUntilMillis

    fun drain() {
        isClosing = true
        isDraining = true
        admission.drain()
    }

    /** Counts a call that holds [heldBytes] for its head and its objects. */
    fun exchangeStarted(heldBytes: Long) {
        memory.add(heldBytes)
        exchanges.incrementAndGet()
    }

    fun exchangeEnded(heldBytes: Long) {
        memory.add(-heldBytes)
        if (exchanges.decrementAndGet() > 0 || !isDraining) return
        synchronized(idleLock) { idleLock.notifyAll() }
    }

    /** Blocks until no call is in flight or [deadlineMillis] has passed, and returns the number of remaining calls. */
    fun awaitIdle(deadlineMillis: Long): Int {
        synchronized(idleLock) {
            while (exchanges.get() > 0) {
                val left = deadlineMillis - nowMillis()
                if (left <= 0) break
                idleLock.wait(left.coerceAtMost(MAX_WAIT_MILLIS))
            }
        }
        return exchanges.get()
    }

    fun nowMicros(): Long = System.nanoTime() / NANOS_PER_MICRO

    fun newCallId(): String = java.lang.Long.toString(ThreadLocalRandom.current().nextLong() ushr 1, ID_RADIX)

    /** Logs the end of a call that failed or was retried; other calls are only counted in the metrics. */
    fun logEnd(
        callId: String?,
        route: Route,
        status: Int,
        failure: CallFailure?,
        attempts: Int,
        lastNode: NodeId?,
        micros: Long,
    ) {
        if (failure == null && attempts <= 1 && status < FIRST_LOGGED_STATUS) return
        callLog.write {
            "event=call_ended call=$callId route=${route.id} service=${route.service.id} version=${tables().version} " +
                "status=$status reason=${failure?.reason?.text} outcome=${failure?.outcome?.text} attempts=$attempts " +
                "last_node=$lastNode micros=$micros"
        }
    }

    /** Logs that the local target did not serve a call, with the state that led to the decision. */
    fun logRefusal(
        callId: String,
        route: Route,
        failure: CallFailure,
        deadlines: CallDeadlines,
    ) = callLog.write {
        val now = nowMillis()
        "event=call_refused call=$callId route=${route.id} service=${route.service.id} version=${tables().version} " +
            "priority=${route.config.priority} reason=${failure.reason.text} outcome=${failure.outcome.text} " +
            "in_use=${admission.inUse} waiting=${admission.waiting} left_ms=${deadlines.lastMillis - now} " +
            "useful_left_ms=${deadlines.usefulMillis - now} room_in_ms=${failure.retryAfterMillis} " +
            "instance=${self.target?.instance} target_status=${self.target?.status}"
    }

    /**
     * Logs that a call was forwarded late, after [beforeMicros] in the queue (owner) or in earlier attempts (entry)
     * and [connectionMicros] of waiting for a connection. Its caller may have disconnected meanwhile.
     */
    fun logDelay(
        callId: String?,
        leg: String,
        beforeMicros: Long,
        connectionMicros: Long,
    ) {
        if (beforeMicros + connectionMicros < LOGGED_DELAY_MICROS) return
        callLog.write {
            "event=call_delayed call=$callId leg=$leg before_micros=$beforeMicros connection_micros=$connectionMicros"
        }
    }

    /** Logs a call without a route with the configuration [version], to tell an outdated version from a wrong path. */
    fun logUnrouted(
        callId: String?,
        host: String?,
        path: String,
        version: Long,
    ) = callLog.write {
        val start = path.take(MAX_LOGGED_PATH_CHARS)
        "event=call_unrouted call=$callId host=$host path=$start version=$version status=404"
    }

    /** Logs a call without a known API key with the configuration [version], to tell an outdated version from a wrong key. */
    fun logUnauthorized(
        callId: String?,
        route: Route,
        version: Long,
    ) = callLog.write { "event=call_unauthorized call=$callId route=${route.id} version=$version status=401" }

    /** Logs a call that was refused while it had no token of the quota of [tenant]. */
    fun logQuotaRefusal(
        callId: String?,
        tenant: TenantId,
        failure: CallFailure,
    ) = callLog.write {
        "event=call_refused call=$callId tenant=$tenant reason=${failure.reason.text} " +
            "status=${failure.status.code()} retry_after_ms=${failure.retryAfterMillis}"
    }

    /** Logs that the target is believed to be cold for [leftMillis], or warm. */
    fun logWarmth(
        isCold: Boolean,
        cause: String,
        leftMillis: Long?,
    ) = callLog.write {
        "event=${if (isCold) "target_cold" else "target_warm"} cause=$cause left_ms=$leftMillis " +
            "instance=${self.target?.instance} in_use=${admission.inUse} waiting=${admission.waiting}"
    }

    fun logUnexpected(cause: Throwable) {
        LOG.error("event=proxy_unexpected_error", cause)
    }

    private companion object {
        val LOG = LogManager.getLogger(NodeCore::class.java)
        const val NANOS_PER_MICRO = 1_000L
        const val ID_RADIX = 36

        /** Server errors are logged, whether a node or a target returned them. */
        const val FIRST_LOGGED_STATUS = 500

        /** Disconnected callers must be noticed within 500 ms. */
        const val LOGGED_DELAY_MICROS = 400_000L

        /** Keeps log lines at about the 300 bytes that the rate limit of [CallLog] assumes. */
        const val MAX_LOGGED_PATH_CHARS = 120

        /** Bounds each wait so that a clock that steps back does not prolong it. */
        const val MAX_WAIT_MILLIS = 100L
    }
}

/** Connections and lag of one event loop. */
internal class LoopPools(
    val owners: OwnerPools,
    val target: ConnectionPool?,
    val lag: LoopLag,
    /** Connections of callers and entry nodes. */
    val callers: OpenConnections<DownstreamHandler>,
) {
    fun sweep() {
        owners.sweep()
        target?.sweep()
    }
}
