package dev.baobabhollow.calls

import com.github.michaelbull.result.getError
import java.util.TreeSet

/**
 * Limits of a [KeyOutcomes], in bytes of memory with the objects. Keys are never removed before their deadline, so new keys
 * beyond [maxTotalBytes] are refused; responses are dropped to make room for them.
 */
data class KeyOutcomeLimits(
    val maxResponseBytes: Int = 20 * 1024,
    val maxTotalBytes: Long = Runtime.getRuntime().maxMemory() / HEAP_DIVISOR,
) {
    private companion object {
        /** Outcomes may take a sixth of the heap, beside claims, connections, calls and the configuration. */
        const val HEAP_DIVISOR = 6
    }
}

/** Complete response, cached for retries with the same key. */
class CachedResponse(
    val status: Int,
    val headers: List<Pair<String, String>>,
    val body: ByteArray,
) {
    /** Estimated memory, in bytes. */
    internal val bytes: Int =
        RESPONSE_BYTES + body.size + headers.sumOf { (name, value) -> FIELD_BYTES + name.length + value.length }

    private companion object {
        /** Objects of a response on a 64-bit JVM: itself, its list and its array. */
        const val RESPONSE_BYTES = 96

        /** Objects of a header field: a pair, two strings with their arrays, and the place in the list. */
        const val FIELD_BYTES = 128
    }
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

    /** There is no room for another key. The call did not run. */
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

        /** Estimated memory without the response, in bytes. */
        val bytes: Int get() = ENTRY_BYTES + key.length + request.length
    }

    private val entries = HashMap<String, Entry>()
    private val byDeadline = TreeSet<Entry>(compareBy({ it.deadlineMillis }, { it.key }))
    private val withResponse = LinkedHashSet<Entry>()

    /** Estimated memory of the keys, and that of the responses, in bytes. */
    private var keyBytes = 0L
    private var responseBytes = 0L

    /** Estimated memory, in bytes. */
    internal val bytes: Long get() = keyBytes + responseBytes
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
        val entry = Entry(key.text, request, key.deadlineMillis)
        if (keyBytes + entry.bytes > limits.maxTotalBytes) return KeyBeginResult.Full
        entries[key.text] = entry
        byDeadline.add(entry)
        keyBytes += entry.bytes
        dropResponses()
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
        dropResponses()
    }

    /** Ends a call that was certainly not sent to the target. The key may be used again. */
    @Synchronized
    fun abandon(key: IdempotencyKey) {
        val entry = entries[key.text]?.takeIf { it.running } ?: return
        remove(entry)
    }

    private fun remove(entry: Entry) {
        dropResponse(entry)
        entries.remove(entry.key)
        byDeadline.remove(entry)
        keyBytes -= entry.bytes
    }

    /** Drops the oldest responses until all keys and the other responses are within the limit. */
    private fun dropResponses() {
        while (bytes > limits.maxTotalBytes) dropResponse(withResponse.first())
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
            remove(byDeadline.first())
        }
    }

    private fun dropResponse(entry: Entry) {
        if (!withResponse.remove(entry)) return
        responseBytes -= entry.response?.bytes ?: 0
        entry.response = null
    }

    private companion object {
        /** Objects of a key on a 64-bit JVM: entry, string, and the nodes of the map and the two sets. */
        const val ENTRY_BYTES = 216
    }
}
