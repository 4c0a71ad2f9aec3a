package dev.baobabhollow.calls

import com.github.michaelbull.result.getError
import java.util.TreeSet

/** Bounds a [KeyOutcomes]. Keys are never forgotten before their deadline, so more than [maxKeys] are refused. */
data class KeyOutcomeLimits(
    val maxKeys: Int = 50_000,
    val maxAnswerBytes: Int = 16 * 1024,
    val maxTotalBytes: Long = 16L * 1024 * 1024,
)

/** Holds a whole response for repeats of its key. */
class CachedResponse(
    val status: Int,
    val headers: List<Pair<String, String>>,
    val body: ByteArray,
) {
    internal val bytes: Int get() = body.size + headers.sumOf { (name, value) -> name.length + value.length }
}

/** Says whether a call with a key may be handed to the target. */
sealed interface KeyBeginResult {
    /** The key is new; end it with [KeyOutcomes.finish] or [KeyOutcomes.abandon]. */
    data object Started : KeyBeginResult

    /** An earlier call with the key has not ended. */
    data object Running : KeyBeginResult

    /** An earlier call ended with [response]. */
    data class Answered(
        val response: CachedResponse,
    ) : KeyBeginResult

    /** An earlier call was handed over and its response is not kept. */
    data object Ran : KeyBeginResult

    /** The key belongs to a call of another method or path. */
    data object OtherRequest : KeyBeginResult

    /** The key was refused and the call did not run. */
    data class Refused(
        val error: KeyError,
    ) : KeyBeginResult

    /** Too many keys are remembered; the call did not run. */
    data object Full : KeyBeginResult
}

/**
 * Remembers at the owner node what became of the keys of calls, until their deadlines. Safe for several threads.
 *
 * Time never goes back here: after a step of the clock, a forgotten key would count as new. A step forward refuses all
 * keys until the clock has caught up, so pass the wall time of the start plus the monotonic time since then.
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
    private val answered = LinkedHashSet<Entry>()
    private var answerBytes = 0L
    private var latestMillis = Long.MIN_VALUE

    /** Number of remembered keys. */
    val size: Int @Synchronized get() = entries.size

    /** Starts a call of [request] (method and path) under [key], unless the key was used before. */
    @Synchronized
    fun begin(
        key: IdempotencyKey,
        request: String,
        nowMillis: Long,
    ): KeyBeginResult {
        latestMillis = maxOf(latestMillis, nowMillis)
        forgetExpired()
        val known = entries[key.text]
        if (known != null) return resultOfRepeat(known, request)
        key.checkLifetime(latestMillis).getError()?.let { return KeyBeginResult.Refused(it) }
        if (entries.size >= limits.maxKeys) return KeyBeginResult.Full
        val entry = Entry(key.text, request, key.deadlineMillis)
        entries[key.text] = entry
        byDeadline.add(entry)
        return KeyBeginResult.Started
    }

    /** Ends a call that was handed over; a null or too large [response] is not kept. */
    @Synchronized
    fun finish(
        key: IdempotencyKey,
        response: CachedResponse?,
    ) {
        val entry = entries[key.text]?.takeIf { it.running } ?: return
        entry.running = false
        if (response == null || response.bytes > limits.maxAnswerBytes) return
        entry.response = response
        answered.add(entry)
        answerBytes += response.bytes
        while (answerBytes > limits.maxTotalBytes) dropAnswer(answered.first())
    }

    /** Ends a call that was certainly not handed over; the key may be used again. */
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

    private fun forgetExpired() {
        while (byDeadline.isNotEmpty() && byDeadline.first().deadlineMillis <= latestMillis) {
            val entry = byDeadline.first()
            byDeadline.remove(entry)
            entries.remove(entry.key)
            dropAnswer(entry)
        }
    }

    private fun dropAnswer(entry: Entry) {
        if (!answered.remove(entry)) return
        answerBytes -= entry.response?.bytes ?: 0
        entry.response = null
    }
}
