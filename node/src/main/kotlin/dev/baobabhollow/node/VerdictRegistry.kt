package dev.baobabhollow.node

import dev.baobabhollow.model.ConfigurationState
import dev.baobabhollow.model.PatchVerdict
import dev.baobabhollow.model.WriterId
import java.util.concurrent.CompletableFuture
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.TimeUnit

/**
 * Verdicts on submitted patches. A request can wait until the patch's record has been applied; at most [maxWaiting]
 * requests wait at a time. Thread-safe.
 */
internal class VerdictRegistry(
    private val maxWaiting: Int = 256,
) {
    private data class PatchKey(
        val writer: WriterId,
        val sequence: Long,
    )

    private val waiting = ConcurrentHashMap<CompletableFuture<PatchVerdict?>, PatchKey>()

    @Volatile
    private var verdicts: Map<PatchKey, PatchVerdict> = emptyMap()

    /** Replaces the verdicts by those of [state] and completes the requests that wait for them. */
    fun update(state: ConfigurationState) {
        verdicts = state.verdicts.associateBy { PatchKey(it.writer, it.sequence) }
        waiting.keys.forEach(::completeIfKnown)
    }

    /** Returns a future of the verdict, or of null if none is known after [waitMillis] or too many requests wait. */
    fun find(
        writer: WriterId,
        sequence: Long,
        waitMillis: Long,
    ): CompletableFuture<PatchVerdict?> {
        val key = PatchKey(writer, sequence)
        verdicts[key]?.let { return CompletableFuture.completedFuture(it) }
        if (waiting.size >= maxWaiting) return CompletableFuture.completedFuture(null)
        val future = CompletableFuture<PatchVerdict?>()
        waiting[future] = key
        future.completeOnTimeout(null, waitMillis, TimeUnit.MILLISECONDS)
        future.whenComplete { _, _ -> waiting.remove(future) }
        // Checks again, because an update between the first check and the registration would be missed.
        completeIfKnown(future)
        return future
    }

    private fun completeIfKnown(future: CompletableFuture<PatchVerdict?>) {
        val key = waiting[future] ?: return
        verdicts[key]?.let { future.complete(it) }
    }
}
