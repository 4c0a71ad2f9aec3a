package dev.baobabhollow.calls

import com.github.michaelbull.result.getError
import java.util.TreeSet

/**
 * Limits of a [KeyOutcomes]. Keys are never removed before their deadline, so new keys beyond [maxKeys] are refused.
 */
data class KeyOutcomeLimits(
    val maxKeys: Int = 50_000,
    val maxResponseBytes: Int = 16 * 1024,
    val maxTotalBytes: Long = 16L * 1024 * 1024,
)

/** Complete response, cached for retries with the same key. */
class CachedResponse(
    val status: Int,
    val headers: List<Pair<String, String>>,
    val body: ByteArray,
) {
    internal val bytes: Int get() = body.size + headers.sumOf { (name, value) -> name.length + value.length }
}

/** Whether a call with a key may be sent to the target. */
sealed interface KeyBeginResult {
    /** The key is new. The call must be ended with [KeyOutcomes.finish] or [KeyOutcomes.abandon]. */
    data object Started : KeyBeginResult

    /** An earlier call with the key is in progress. */
    data object Running : KeyBeginResult

    /** An earlier call with the key ended with [response]. */
    data class Answered(
        val response: CachedResponse,
    ) : KeyBeginResult

    /** An earlier call with the key was sent to the target and its response is not cached. */
    data object Ran : KeyBeginResult

    /** The key was used for a request with another method or path. */
    data object OtherRequest : KeyBeginResult

    /** The key was refused and the call did not run. */
    data class Refused(
        val error: KeyError,
    ) : KeyBeginResult

    /** The limit of stored keys is reached. The call did not run. */
    data object Full : KeyBeginResult
}

/**
 * Stores on the owner node the outcomes of calls by their keys, until the keys' deadlines. Thread-safe.
 *
 * The latest time passed is never reverted, as a key that was removed would otherwise count as new after the clock
 * steps back. After a step forward, keys are refused as expired until the clock has caught up, so callers pass the wall
 * time at start plus the monotonic time since then.
 */
class KeyOutcomes(
    private val limits: KeyOutcomeLimits = KeyOutcomeLimits(),
) {
    private class Entry(
        val key: String,
        val request: String,
        val deadlineMillis: Long,
    ) {
        var running = true
        var response: CachedResponse? = null
    }

    private val entries = HashMap<String, Entry>()
    private val byDeadline = TreeSet<Entry>(compareBy({ it.deadlineMillis }, { it.key }))
    private val withResponse = LinkedHashSet<Entry>()
    private var responseBytes = 0L
    private var latestMillis = Long.MIN_VALUE

    /** Number of stored keys. */
    val size: Int @Synchronized get() = entries.size

    /** Starts a call of [request] (method and path) with [key], unless the key was used before. */
    @Synchronized
    fun begin(
        key: IdempotencyKey,
        request: String,
        nowMillis: Long,
    ): KeyBeginResult {
        latestMillis = maxOf(latestMillis, nowMillis)
        removeExpired()
        val known = entries[key.text]
        if (known != null) return resultOfRepeat(known, request)
        key.checkLifetime(latestMillis).getError()?.let { return KeyBeginResult.Refused(it) }
        if (entries.size >= limits.maxKeys) return KeyBeginResult.Full
        val entry = Entry(key.text, request, key.deadlineMillis)
        entries[key.text] = entry
        byDeadline.add(entry)
        return KeyBeginResult.Started
    }

    /** Ends a call that was sent to the target. A [response] that is null or too large is not cached. */
    @Synchronized
    fun finish(
        key: IdempotencyKey,
        response: CachedResponse?,
    ) {
        val entry = entries[key.text]?.takeIf { it.running } ?: return
        entry.running = false
        if (response == null || response.bytes > limits.maxResponseBytes) return
        entry.response = response
        withResponse.add(entry)
        responseBytes += response.bytes
        while (responseBytes > limits.maxTotalBytes) dropResponse(withResponse.first())
    }

    /** Ends a call that was certainly not sent to the target. The key may be used again. */
    @Synchronized
    fun abandon(key: IdempotencyKey) {
        val entry = entries[key.text]?.takeIf { it.running } ?: return
        entries.remove(key.text)
        byDeadline.remove(entry)
    }

    private fun resultOfRepeat(
        entry: Entry,
        request: String,
    ): KeyBeginResult {
        if (entry.request != request) return KeyBeginResult.OtherRequest
        if (entry.running) return KeyBeginResult.Running
        return entry.response?.let { KeyBeginResult.Answered(it) } ?: KeyBeginResult.Ran
    }

    private fun removeExpired() {
        while (byDeadline.isNotEmpty() && byDeadline.first().deadlineMillis <= latestMillis) {
            val entry = byDeadline.first()
            byDeadline.remove(entry)
            entries.remove(entry.key)
            dropResponse(entry)
        }
    }

    private fun dropResponse(entry: Entry) {
        if (!withResponse.remove(entry)) return
        responseBytes -= entry.response?.bytes ?: 0
        entry.response = null
    }
}
