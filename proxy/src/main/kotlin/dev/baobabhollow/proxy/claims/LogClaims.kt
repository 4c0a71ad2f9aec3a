package dev.baobabhollow.proxy.claims

import dev.baobabhollow.calls.CallerKey
import dev.baobabhollow.model.MonotonicClock
import dev.baobabhollow.model.PlatformLog
import dev.baobabhollow.model.WriterId
import org.jctools.queues.MpscBlockingConsumerArrayQueue
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicLong
import kotlin.concurrent.thread

/**
 * Claims caller-made keys in the platform log before their requests are sent to targets.
 *
 * One thread batches the claims of many calls into one append per partition, reads the partition up to that append and
 * replies. [writer] must be unique for each process start, because it is part of the claimants' names.
 */
class LogClaims(
    log: PlatformLog,
    private val writer: WriterId,
    private val settings: ClaimsSettings = ClaimsSettings(),
    private val nowMillis: () -> Long = MonotonicClock(),
) : AutoCloseable {
    /** Counts since the start. */
    val counters = ClaimCounters()

    private val queue = MpscBlockingConsumerArrayQueue<ClaimsMessage>(settings.queueCapacity)
    private val claimantNumbers = AtomicLong()
    private val writerLoop = ClaimsWriter(log, writer, settings, counters, nowMillis)

    @Volatile
    private var closed = false

    @Volatile
    private var ended = false
    private val worker = thread(name = "claims", isDaemon = true) { run() }

    /**
     * Claims [key] and calls [onResult] exactly once, on the claims thread or, for an immediate refusal, on the calling
     * thread. [onResult] must not block. After [deadlineMillis] (epoch milliseconds) the claim is not attempted.
     */
    fun claim(
        key: CallerKey,
        deadlineMillis: Long,
        onResult: (ClaimResult) -> Unit,
    ) {
        val refusal =
            when {
                closed -> "claims are closed"
                !writerLoop.isLogUp -> "the platform log is down"
                else -> null
            }
        if (refusal != null) return refuse(refusal, onResult)
        val handle = ClaimHandle(key, "$writer:${claimantNumbers.incrementAndGet()}")
        if (!queue.offer(
                ClaimRequest(handle, deadlineMillis, onResult),
            )
        ) {
            return refuse("too many claims are waiting", onResult)
        }
        if (ended) refuseWaiting()
    }

    /** Releases the key of a call that won its claim and was certainly not sent to a target. */
    fun release(handle: ClaimHandle) {
        if (!queue.offer(ReleaseRequest(handle))) counters.lostReleaseAdder.increment()
    }

    /** Ends the thread after its current batch and replies "not run" to all waiting calls. */
    override fun close() {
        closed = true
        queue.offer(Wake)
        worker.join(settings.timeoutMillis * 2)
    }

    private fun refuse(
        reason: String,
        onResult: (ClaimResult) -> Unit,
    ) {
        counters.refusedAdder.increment()
        onResult(ClaimResult.NotRun(reason))
    }

    private fun run() {
        while (!closed) {
            guard(emptyList()) { writerLoop.ensureCaughtUp() }
            val batch = collect()
            guard(batch) { writerLoop.process(batch) }
        }
        ended = true
        refuseWaiting()
    }

    private fun guard(
        batch: List<ClaimsMessage>,
        action: () -> Unit,
    ) = try {
        action()
    } catch (failure: RuntimeException) {
        writerLoop.recover(batch, failure)
    }

    // A call that passed the check of [closed] just before [close] finds [ended] set once its message is in the queue.
    @Synchronized
    private fun refuseWaiting() = writerLoop.refuseAll(generateSequence { queue.poll() }.toList())

    private fun collect(): List<ClaimsMessage> {
        val first = queue.poll(writerLoop.idleMillis(), TimeUnit.MILLISECONDS) ?: return emptyList()
        if (first == Wake) return emptyList()
        val batch = mutableListOf(first)
        val endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(settings.lingerMillis)
        while (batch.size < settings.maxBatch) {
            val leftNanos = endNanos - System.nanoTime()
            val next = (if (leftNanos > 0) queue.poll(leftNanos, TimeUnit.NANOSECONDS) else queue.poll()) ?: break
            batch += next
        }
        return batch
    }
}
