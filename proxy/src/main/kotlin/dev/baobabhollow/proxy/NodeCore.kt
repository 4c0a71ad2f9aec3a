package dev.baobabhollow.proxy

import dev.baobabhollow.calls.Admission
import dev.baobabhollow.calls.CallerPatience
import dev.baobabhollow.calls.Outliers
import dev.baobabhollow.calls.RetryBudgets
import dev.baobabhollow.calls.Route
import dev.baobabhollow.calls.RoutingTable
import dev.baobabhollow.calls.TargetPicker
import dev.baobabhollow.model.Endpoint
import dev.baobabhollow.model.NodeId
import dev.baobabhollow.model.NodeRecord
import dev.baobabhollow.model.TargetStatus
import io.netty.channel.EventLoop
import org.apache.logging.log4j.LogManager
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.ThreadLocalRandom
import java.util.concurrent.atomic.AtomicInteger

/** Holds what all exchanges of a node share. */
internal class NodeCore(
    val settings: ProxySettings,
    self: NodeRecord,
    val tables: () -> RoutingTable,
    private val targetEndpoint: Endpoint?,
    val nowMillis: () -> Long,
    val recorder: OutcomeRecorder,
    val claims: KeyClaims,
    val metrics: ProxyMetrics,
) {
    @Volatile
    var self: NodeRecord = self
        private set

    @Volatile
    var isDraining = false
        private set

    /** True once callers shall open no further requests on their connections. */
    @Volatile
    var isClosing = false
        private set

    val admission = Admission(settings.admission, self.target?.slots ?: 1)
    val outliers = Outliers(settings.outliers)
    val budgets = RetryBudgets(settings.retries)
    val patience = CallerPatience()
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

    val hasTarget: Boolean get() = targetEndpoint != null && self.target != null

    fun pools(loop: EventLoop): LoopPools = loops[loop] ?: loops.computeIfAbsent(loop) { newPools(it) }

    private fun newPools(loop: EventLoop): LoopPools {
        val target = targetEndpoint?.let { ConnectionPool(loop, it, settings, targetLimit, nowMillis) }
        return LoopPools(OwnerPools(loop, settings, nowMillis), target, LoopLag(nowMillis))
    }

    /** Tells whether [loop] is so late that callers of what it reads may have left. Called on that loop. */
    fun isLagging(loop: EventLoop): Boolean = pools(loop).lag.millis >= settings.loopLagThresholdMillis

    /** Returns the refusal of a new call while [loop] is too far behind, or null. Called on that loop. */
    fun lagRefusal(loop: EventLoop): CallFailure? {
        val limit = settings.maxLoopLagMillis ?: return null
        val lag = pools(loop).lag.millis
        return if (lag > limit) CallFailure.notRun(FailureReason.NODE_BUSY).copy(retryAfterMillis = lag) else null
    }

    /** Returns the refusal of a call for which the node lacks what is about to come. */
    fun startupRefusal(reason: FailureReason) =
        CallFailure.notRun(reason).copy(retryAfterMillis = settings.notReadyRetryAfterMillis)

    fun update(self: NodeRecord) {
        this.self = self
        val target = self.target ?: return admission.drain()
        targetLimit.max = target.connections
        admission.resize(minOf(target.slots, target.connections), nowMicros(), nowMillis())
        if (isDraining || target.status != TargetStatus.SERVING) admission.drain() else admission.resume()
    }

    fun forgetAbsent(table: RoutingTable) {
        picker.retain(table.nodes)
        outliers.retain(table.nodes)
        budgets.retain(table.services.keys)
        budgets.nodes = table.nodes.size
        patience.retain(table.routeIds)
    }

    fun close() {
        isClosing = true
    }

    fun drain() {
        isClosing = true
        isDraining = true
        admission.drain()
    }

    fun exchangeStarted() {
        exchanges.incrementAndGet()
    }

    fun exchangeEnded() {
        if (exchanges.decrementAndGet() > 0 || !isDraining) return
        synchronized(idleLock) { idleLock.notifyAll() }
    }

    /** Blocks until no call is in flight or [deadlineMillis] has passed, and returns the number of calls left. */
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

    /** Logs how a call ended if it failed or was sent more than once; other calls only count in the metrics. */
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

    /** Logs that the own target did not take a call, with what the decision rests on. */
    fun logRefusal(
        callId: String,
        route: Route,
        failure: CallFailure,
        leftMillis: Long,
    ) = callLog.write {
        "event=call_refused call=$callId route=${route.id} service=${route.service.id} version=${tables().version} " +
            "reason=${failure.reason.text} outcome=${failure.outcome.text} in_use=${admission.inUse} " +
            "waiting=${admission.waiting} left_ms=$leftMillis room_in_ms=${failure.retryAfterMillis} " +
            "instance=${self.target?.instance} target_status=${self.target?.status}"
    }

    /**
     * Logs that a call was sent on late: after [beforeMicros] in the queue, or with earlier attempts at the entry node, and
     * [connectionMicros] without a connection. Its caller may have left meanwhile.
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

    /** Logs that [version] of the configuration has no route for a call, so that a late version can be told from a wrong path. */
    fun logUnrouted(
        callId: String?,
        host: String?,
        path: String,
        version: Long,
    ) = callLog.write {
        val start = path.take(MAX_LOGGED_PATH_CHARS)
        "event=call_unrouted call=$callId host=$host path=$start version=$version status=404"
    }

    fun logUnexpected(cause: Throwable) {
        LOG.error("event=proxy_unexpected_error", cause)
    }

    private companion object {
        val LOG = LogManager.getLogger(NodeCore::class.java)
        const val NANOS_PER_MICRO = 1_000L
        const val ID_RADIX = 36

        /** Server errors are worth a line, whoever made them. */
        const val FIRST_LOGGED_STATUS = 500

        /** Callers that have left must be noticed within half a second. */
        const val LOGGED_DELAY_MICROS = 400_000L

        /** Keeps a line about a call at about the length that [CallLog] is laid out for. */
        const val MAX_LOGGED_PATH_CHARS = 120

        /** Bounds a wait so that a clock that steps back does not prolong it. */
        const val MAX_WAIT_MILLIS = 100L
    }
}

/** Holds the connection pools of one event loop. */
internal class LoopPools(
    val owners: OwnerPools,
    val target: ConnectionPool?,
    val lag: LoopLag,
) {
    fun sweep() {
        owners.sweep()
        target?.sweep()
    }
}
