package dev.baobabhollow.proxy.claims

import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import dev.baobabhollow.calls.ClaimStatus
import dev.baobabhollow.calls.partitionOf
import dev.baobabhollow.model.ClaimsRecord
import dev.baobabhollow.model.KeyClaim
import dev.baobabhollow.model.LogError
import dev.baobabhollow.model.LogRecord
import dev.baobabhollow.model.PlatformLog
import dev.baobabhollow.model.WriterId
import org.apache.logging.log4j.LogManager
import java.util.concurrent.TimeUnit
import kotlin.random.Random

/** Appends batches of claims and releases and replies to the calls. Confined to the claims thread except [isLogUp]. */
internal class ClaimsWriter(
    private val log: PlatformLog,
    private val writer: WriterId,
    private val settings: ClaimsSettings,
    private val counters: ClaimCounters,
    private val nowMillis: () -> Long,
    private val elapsedMillis: () -> Long = { TimeUnit.NANOSECONDS.toMillis(System.nanoTime()) },
) {
    private val logger = LogManager.getLogger()
    private val partitions =
        List(settings.partitions) { ClaimPartitionLog(it, settings, log, nowMillis) }
    private val releases = PendingReleases(settings.maxPendingReleases) { counters.lostReleaseAdder.increment() }
    private var waiting = emptyList<ClaimRequest>()
    private var sequence = 0L
    private var failures = 0
    private var retryAtMillis = Long.MIN_VALUE
    private var isCaughtUp = false

    /** True if the last request to the log succeeded, and before the first one, so that early claims wait for it. */
    @Volatile
    var isLogUp = true
        private set

    /** Returns the time in milliseconds for which the thread may wait for the next message. */
    fun idleMillis(): Long {
        val hasWork = waiting.isNotEmpty() || !releases.isEmpty || !isLogUp || !isCaughtUp
        return if (hasWork) remainingBackoffMillis() else IDLE_MILLIS
    }

    /** Reads the partitions to their ends at the start and after a failure, unless a backoff is in progress. */
    fun ensureCaughtUp() {
        if ((isCaughtUp && isLogUp) || remainingBackoffMillis() > 0) return
        for (partition in partitions) {
            val result = partition.catchUp(nowMillis() + settings.timeoutMillis)
            val error = result.getError()
            if (error != null) return onLogFailure(error)
            if (!isCaughtUp && result.get() == true) appendTimeMarker(partition)
        }
        isCaughtUp = true
        onLogSuccess()
    }

    /** Appends the claims and releases of [messages], with claims delayed by the rate limit and pending releases. */
    fun process(messages: List<ClaimsMessage>) {
        messages.filterIsInstance<ReleaseRequest>().forEach { releases.add(it.handle) }
        val requests = waiting + messages.filterIsInstance<ClaimRequest>()
        waiting = emptyList()
        if (!isCaughtUp || !isLogUp) return requests.forEach { notRun(it, "the platform log is down") }
        val (current, expired) = requests.partition { nowMillis() < it.deadlineMillis }
        expired.forEach { notRun(it, "the deadline passed before the claim was tried") }
        if (remainingBackoffMillis() > 0) return delay(current)
        val byPartition = current.groupBy { partitionOf(it.handle.key.text, settings.partitions) }
        partitions.indices.forEach { index ->
            val released = releases.select(settings.maxBatch, nowMillis()) { isIn(index, it) }
            val claims = admit(partitions[index], byPartition[index].orEmpty())
            if (claims.isNotEmpty() || released.isNotEmpty()) append(partitions[index], claims, released)
        }
    }

    /** Ends a batch that was interrupted by an unexpected exception. */
    fun recover(
        messages: List<ClaimsMessage>,
        failure: RuntimeException,
    ) {
        logger.error("an unexpected exception ended a batch of claims", failure)
        onLogFailure(LogError.Malformed(failure.toString()))
        val open = messages.filterIsInstance<ClaimRequest>().filterNot { it.isReplied || it in waiting }
        open.forEach { abandonClaim(it, "an unexpected exception ended the claim") }
    }

    /** Replies "not run" to the claims of [messages] and to those delayed by the rate limit. */
    fun refuseAll(messages: List<ClaimsMessage>) {
        (waiting + messages.filterIsInstance<ClaimRequest>()).forEach { notRun(it, "claims are closed") }
        waiting = emptyList()
    }

    // A full [ClaimTable] cannot decide any claim, so claims stop at 9/10 of its capacity. One per append is still
    // admitted, because appends advance the log's time, by which keys expire.
    private fun admit(
        partition: ClaimPartitionLog,
        requests: List<ClaimRequest>,
    ): List<ClaimRequest> {
        val room = settings.maxKeysPerPartition / CAPACITY_PARTS * (CAPACITY_PARTS - 1) - partition.claimTable.size
        val (admitted, refused) = requests.withIndex().partition { it.index < maxOf(1, room) }
        refused.forEach { notRun(it.value, "too many keys are claimed in the fleet") }
        return admitted.map { it.value }
    }

    private fun isIn(
        partition: Int,
        handle: ClaimHandle,
    ) = partitionOf(handle.key.text, settings.partitions) == partition

    private fun append(
        partition: ClaimPartitionLog,
        requests: List<ClaimRequest>,
        released: List<ClaimHandle>,
    ) {
        if (!isLogUp) return requests.forEach { notRun(it, "the platform log is down") }
        if (remainingBackoffMillis() > 0) return delay(requests)
        val claims = released.map { it.toClaim(release = true) } + requests.map { it.handle.toClaim(release = false) }
        val deadlineMillis = nowMillis() + settings.timeoutMillis
        val result = log.append(partition.stream, listOf(record(claims)), deadlineMillis)
        val receipt = result.get()
        if (receipt == null) return onAppendFailed(result.getError(), requests)
        counters.appendAdder.increment()
        releases.confirm(released)
        val readError = partition.readThrough(receipt.offsets.last(), deadlineMillis).getError()
        if (readError == null) return requests.forEach { replyFromTable(partition, it) }
        onLogFailure(readError)
        requests.forEach { abandonClaim(it, "the claims could not be read: $readError") }
    }

    private fun onAppendFailed(
        error: LogError?,
        requests: List<ClaimRequest>,
    ) = when (error) {
        is LogError.RateLimited -> {
            backOff((error.retryAtMillis - nowMillis()).coerceIn(0, settings.maxBackoffMillis))
            delay(requests)
        }

        is LogError.Unavailable -> {
            onLogFailure(error)
            requests.forEach { notRun(it, "the platform log is down: ${error.reason}") }
        }

        else -> {
            onLogFailure(error)
            requests.forEach { abandonClaim(it, "the outcome of the append is unknown") }
        }
    }

    private fun replyFromTable(
        partition: ClaimPartitionLog,
        request: ClaimRequest,
    ) {
        when (val status = partition.claimTable.status(request.handle.key.text, request.handle.claimant)) {
            ClaimStatus.Won -> {
                counters.wonAdder.increment()
                reply(request, ClaimResult.Won(request.handle))
            }

            is ClaimStatus.Lost -> {
                counters.lostAdder.increment()
                reply(request, ClaimResult.Lost(status.claimant))
            }

            ClaimStatus.Unknown -> {
                abandonClaim(request, "the log does not show whether the key was claimed earlier")
            }
        }
    }

    // The claim may be in the log or still reach it. The release also cancels a claim that takes effect after it.
    private fun abandonClaim(
        request: ClaimRequest,
        reason: String,
    ) {
        releases.add(request.handle)
        notRun(request, reason)
    }

    private fun notRun(
        request: ClaimRequest,
        reason: String,
    ) {
        counters.notRunAdder.increment()
        reply(request, ClaimResult.NotRun(reason))
    }

    private fun reply(
        request: ClaimRequest,
        result: ClaimResult,
    ) {
        try {
            request.reply(result)
        } catch (failure: RuntimeException) {
            logger.error("the callback for the result of a claim threw an exception", failure)
        }
    }

    private fun delay(requests: List<ClaimRequest>) {
        val (kept, refused) = requests.withIndex().partition { it.index + waiting.size < settings.queueCapacity }
        waiting = waiting + kept.map { it.value }
        refused.forEach { notRun(it.value, "too many claims are waiting for the append rate limit") }
    }

    private fun appendTimeMarker(partition: ClaimPartitionLog) {
        val marker = listOf(record(emptyList()))
        log.append(partition.stream, marker, nowMillis() + settings.timeoutMillis)
    }

    private fun record(claims: List<KeyClaim>) = LogRecord(writer, ++sequence, ClaimsRecord(claims))

    private fun onLogSuccess() {
        if (!isLogUp) logger.info("the platform log is back")
        isLogUp = true
        failures = 0
        retryAtMillis = Long.MIN_VALUE
    }

    private fun onLogFailure(error: LogError?) {
        if (isLogUp) logger.warn("the platform log is down: {}", error)
        isLogUp = false
        val ceiling = minOf(settings.maxBackoffMillis, FIRST_BACKOFF_MILLIS shl minOf(failures++, MAX_DOUBLINGS))
        backOff(Random.nextLong(ceiling + 1))
    }

    // Uses monotonic time, because a step of the wall clock must not stall the thread.
    private fun backOff(millis: Long) {
        retryAtMillis = elapsedMillis() + millis
    }

    private fun remainingBackoffMillis(): Long =
        if (retryAtMillis ==
            Long.MIN_VALUE
        ) {
            0
        } else {
            maxOf(0, retryAtMillis - elapsedMillis())
        }

    private companion object {
        const val IDLE_MILLIS = 1_000L
        const val CAPACITY_PARTS = 10
        const val FIRST_BACKOFF_MILLIS = 50L
        const val MAX_DOUBLINGS = 10
    }
}
