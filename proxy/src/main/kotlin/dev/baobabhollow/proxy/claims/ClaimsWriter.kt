package dev.baobabhollow.proxy.claims

import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import dev.baobabhollow.calls.ClaimAnswer
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

/** Appends batches of claims and releases and answers the calls. Confined to the claims thread but for [isLogUp]. */
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

    /** Tells whether the last contact with the log succeeded; true before the first one, so that early claims wait. */
    @Volatile
    var isLogUp = true
        private set

    /** Returns how long the thread may wait for the next message. */
    fun idleMillis(): Long {
        val hasWork = waiting.isNotEmpty() || !releases.isEmpty || !isLogUp || !isCaughtUp
        return if (hasWork) remainingBackoffMillis() else IDLE_MILLIS
    }

    /** Reads all partitions at the start, and one after a failure, until the log answers. */
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

    /** Appends what [messages] ask for, with earlier claims that the rate limit has delayed and pending releases. */
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
            val freed = releases.select(settings.maxBatch, nowMillis()) { isIn(index, it) }
            val claims = admit(partitions[index], byPartition[index].orEmpty())
            if (claims.isNotEmpty() || freed.isNotEmpty()) append(partitions[index], claims, freed)
        }
    }

    /** Ends a batch that an unexpected exception has interrupted. */
    fun recover(
        messages: List<ClaimsMessage>,
        failure: RuntimeException,
    ) {
        logger.error("a batch of claims failed", failure)
        onLogFailure(LogError.Malformed(failure.toString()))
        val open = messages.filterIsInstance<ClaimRequest>().filterNot { it.isAnswered || it in waiting }
        open.forEach { giveUp(it, "the claim failed") }
    }

    /** Answers the claims of [messages] and those delayed by the rate limit with "not run". */
    fun refuseAll(messages: List<ClaimsMessage>) {
        (waiting + messages.filterIsInstance<ClaimRequest>()).forEach { notRun(it, "claims are closed") }
        waiting = emptyList()
    }

    // A full book decides nothing, so claims stop before it is full; one in each append still brings in the log's time.
    private fun admit(
        partition: ClaimPartitionLog,
        requests: List<ClaimRequest>,
    ): List<ClaimRequest> {
        val room = settings.maxKeysPerPartition / CAPACITY_PARTS * (CAPACITY_PARTS - 1) - partition.book.size
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
        freed: List<ClaimHandle>,
    ) {
        if (!isLogUp) return requests.forEach { notRun(it, "the platform log is down") }
        if (remainingBackoffMillis() > 0) return delay(requests)
        val claims = freed.map { it.toClaim(release = true) } + requests.map { it.handle.toClaim(release = false) }
        val deadlineMillis = nowMillis() + settings.timeoutMillis
        val result = log.append(partition.stream, listOf(record(claims)), deadlineMillis)
        val receipt = result.get()
        if (receipt == null) return onAppendFailed(result.getError(), requests)
        counters.appendAdder.increment()
        releases.confirm(freed)
        val readError = partition.readThrough(receipt.offsets.last(), deadlineMillis).getError()
        if (readError == null) return requests.forEach { answer(partition, it) }
        onLogFailure(readError)
        requests.forEach { giveUp(it, "the claims could not be read: $readError") }
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
            requests.forEach { giveUp(it, "the append of the claim has no known outcome") }
        }
    }

    private fun answer(
        partition: ClaimPartitionLog,
        request: ClaimRequest,
    ) {
        when (val answer = partition.book.answer(request.handle.key.text, request.handle.claimant)) {
            ClaimAnswer.Won -> {
                counters.wonAdder.increment()
                reply(request, ClaimResult.Won(request.handle))
            }

            is ClaimAnswer.Lost -> {
                counters.lostAdder.increment()
                reply(request, ClaimResult.Lost(answer.claimant))
            }

            ClaimAnswer.Unknown -> {
                giveUp(request, "the log does not show whether the key was claimed before")
            }
        }
    }

    // The claim may be in the log or reach it later, so it is released; the release also voids a later effect.
    private fun giveUp(
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
            logger.error("a call failed to take the result of its claim", failure)
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

    // Monotonic time, because a step of the wall clock must not stop the thread.
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
