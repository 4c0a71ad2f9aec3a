package dev.baobabhollow.standins

import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.util.concurrent.Future
import java.util.concurrent.TimeUnit
import kotlin.random.Random

/** How an executed call ends. */
internal enum class TargetOutcome { ANSWER, ERROR, TRUNCATE, CLOSE, PAST_DEADLINE }

/**
 * Executes calls in the slots of a [StandInTarget] and queues further calls up to a limit. Confined to one event loop.
 *
 * [finish] sends the response of a call that has released its slot.
 */
internal class TargetExecutor(
    private val options: StandInTargetOptions,
    private val nowMillis: () -> Long,
    private val finish: (TargetCall, TargetOutcome) -> Unit,
) {
    private val random = Random(options.seed)
    private val startedNanos = System.nanoTime()
    private var faultsSetNanos = startedNanos
    private val waiting = ArrayDeque<TargetCall>()
    private val deferred = ArrayDeque<() -> Unit>()
    private val byRequestId = ExecutionCounts()
    private val byKey = ExecutionCounts()
    private var counts = TargetStats()

    /** Number of calls that occupy a slot. */
    var executing = 0
        private set

    /** Number of calls that wait for a slot. */
    val queued: Int get() = waiting.size

    /** Active faults. A change restarts the gradual faults and runs the actions that a freeze has deferred. */
    var faults: TargetFaults = options.faults
        set(value) {
            field = value
            faultsSetNanos = System.nanoTime()
            while (!field.freeze && deferred.isNotEmpty()) deferred.removeFirst()()
        }

    /** Runs [action] now, or when the target is unfrozen. */
    fun whenNotFrozen(action: () -> Unit) {
        if (!faults.freeze) return action()
        if (deferred.size < MAX_DEFERRED) deferred.addLast(action)
    }

    /** Starts or queues [call], or rejects it. */
    fun submit(call: TargetCall) {
        when {
            faults.draining -> {
                counts = counts.copy(refusedDraining = counts.refusedDraining + 1)
                call.send(errorResponse(HttpResponseStatus.SERVICE_UNAVAILABLE, "draining"), closes = true)
            }

            executing < options.slots -> {
                start(call)
            }

            waiting.size < options.queue -> {
                enqueue(call)
            }

            else -> {
                counts = counts.copy(shed = counts.shed + 1)
                call.send(errorResponse(HttpResponseStatus.SERVICE_UNAVAILABLE, "all slots are in use"))
            }
        }
    }

    /** Returns the current statistics. */
    fun stats(withMaps: Boolean): TargetStats {
        if (!withMaps) return counts
        return counts.copy(executionsByRequestId = byRequestId.toMap(), executionsByKey = byKey.toMap())
    }

    /** Records a refused connection, or otherwise the [number] of connections that carry calls. */
    fun countConnections(
        number: Int,
        refused: Boolean,
    ) {
        val peak = maxOf(counts.peakConnections, if (refused) 0 else number)
        val refusals = counts.refusedConnections + if (refused) 1 else 0
        counts = counts.copy(peakConnections = peak, refusedConnections = refusals)
    }

    private fun enqueue(call: TargetCall) {
        waiting.addLast(call)
        call.onCancel = {
            waiting.remove(call)
            counts = counts.copy(cancelled = counts.cancelled + 1)
        }
    }

    private fun start(call: TargetCall) {
        call.onCancel = {}
        if (call.deadlineMillis != null && call.deadlineMillis <= nowMillis()) {
            counts = counts.copy(pastDeadline = counts.pastDeadline + 1)
            finish(call, TargetOutcome.PAST_DEADLINE)
            return
        }
        executing++
        byRequestId.add(call.requestId)
        byKey.add(call.idempotencyKey)
        counts = counts.copy(executions = counts.executions + 1, peakExecuting = maxOf(counts.peakExecuting, executing))
        execute(call)
    }

    private fun execute(call: TargetCall) {
        val planned = chooseOutcome(call)
        val micros = chooseMicros(call)
        val remainingMicros = call.deadlineMillis?.let { (it - nowMillis()) * MICROS_PER_MILLI } ?: Long.MAX_VALUE
        val outcome = if (remainingMicros < micros) TargetOutcome.PAST_DEADLINE else planned
        val done = { whenNotFrozen { if (call.channel.isActive) complete(call, outcome) } }
        val runMicros = minOf(micros, remainingMicros)
        var timer: Future<*>? = null
        call.onCancel = { cancel(timer) }
        if (runMicros <= 0) return done()
        timer = call.channel.eventLoop().schedule(done, runMicros, TimeUnit.MICROSECONDS)
    }

    private fun cancel(timer: Future<*>?) {
        timer?.cancel(false)
        counts = counts.copy(cancelled = counts.cancelled + 1)
        executing--
        startNext()
    }

    private fun complete(
        call: TargetCall,
        outcome: TargetOutcome,
    ) {
        call.onCancel = {}
        executing--
        counts =
            when (outcome) {
                TargetOutcome.ANSWER -> counts.copy(answered = counts.answered + 1)
                TargetOutcome.PAST_DEADLINE -> counts.copy(pastDeadline = counts.pastDeadline + 1)
                else -> counts.copy(failed = counts.failed + 1)
            }
        finish(call, outcome)
        startNext()
    }

    private fun startNext() {
        while (executing < options.slots) start(waiting.removeFirstOrNull() ?: return)
    }

    private fun chooseOutcome(call: TargetCall): TargetOutcome {
        if (!call.path.startsWith(faults.pathPrefix)) return TargetOutcome.ANSWER
        val errors = faults.errorPermille + faults.worseningErrorPermillePerSecond * secondsSince(faultsSetNanos)
        return when {
            executing > faults.errorAboveConcurrent && random.nextInt(PERMILLE) < errors -> TargetOutcome.ERROR
            random.nextInt(PERMILLE) < faults.truncatePermille -> TargetOutcome.TRUNCATE
            random.nextInt(PERMILLE) < faults.closePermille -> TargetOutcome.CLOSE
            else -> TargetOutcome.ANSWER
        }
    }

    private fun chooseMicros(call: TargetCall): Long {
        val jitter = (random.nextDouble() * 2 - 1) * options.serviceJitterPermille / PERMILLE
        val service = options.serviceMillis * (1 + jitter) * coldFactor()
        if (!call.path.startsWith(faults.pathPrefix)) return (service * MICROS_PER_MILLI).toLong()
        val worsening = faults.worseningLatencyMillisPerSecond * secondsSince(faultsSetNanos)
        return ((service + faults.extraLatencyMillis + worsening) * MICROS_PER_MILLI).toLong()
    }

    private fun coldFactor(): Double {
        if (options.coldMillis <= 0) return 1.0
        val remaining = 1 - secondsSince(startedNanos) * MILLIS_PER_SECOND / options.coldMillis
        return 1 + (options.coldFactor - 1) * remaining.coerceAtLeast(0.0)
    }

    private fun secondsSince(nanos: Long) = (System.nanoTime() - nanos) / NANOS_PER_SECOND

    private companion object {
        const val PERMILLE = 1_000
        const val MICROS_PER_MILLI = 1_000L
        const val MILLIS_PER_SECOND = 1_000
        const val NANOS_PER_SECOND = 1e9
        const val MAX_DEFERRED = 10_000
    }
}
