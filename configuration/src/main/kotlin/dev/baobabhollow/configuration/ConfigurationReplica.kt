package dev.baobabhollow.configuration

import dev.baobabhollow.model.ConfigurationState
import dev.baobabhollow.model.LogEntry
import java.util.concurrent.atomic.AtomicReference

/**
 * Holds one node's copy of the configuration and keeps a bounded tail of records for peers that are behind.
 *
 * One thread offers batches and states; any thread may read [state]. The offset and the version never go down.
 */
class ConfigurationReplica(
    initial: ConfigurationState = ConfigurationState.INITIAL,
) {
    private val current = AtomicReference(initial)
    private val tail = ArrayDeque<LogEntry>()
    private var tailAfterOffset = initial.offset

    /** Latest complete state. */
    val state: ConfigurationState get() = current.get()

    /** Applies the entries of [batch] that are new, or nothing when records between the state and the batch are missing. */
    fun offer(batch: RecordBatch): OfferResult {
        val before = state
        if (!isOrdered(batch)) return OfferResult.Rejected("offsets of the batch do not rise")
        if (batch.afterOffset > before.offset) return OfferResult.Gap(before.offset)
        val fresh = batch.entries.filter { it.offset > before.offset }
        if (fresh.isEmpty()) return OfferResult.Unchanged
        current.set(fresh.fold(before, ::fold))
        keepTail(fresh)
        return OfferResult.Applied(state)
    }

    /** Takes over a whole state if it is newer than this copy and its hash matches. */
    fun offer(transfer: StateTransfer): OfferResult {
        if (transfer.state.offset <= state.offset) return OfferResult.Unchanged
        if (transfer.state.version < state.version) return OfferResult.Rejected("version would go back")
        if (contentHash(transfer.state) !=
            transfer.contentHash
        ) {
            return OfferResult.Rejected("content hash does not match")
        }
        current.set(transfer.state)
        tail.clear()
        tailAfterOffset = transfer.state.offset
        return OfferResult.Applied(state)
    }

    /** Returns the records after [offset], or null when the tail does not reach back that far. */
    fun recordsAfter(offset: Long): RecordBatch? {
        if (offset < tailAfterOffset || offset > state.offset) return null
        return RecordBatch(offset, tail.filter { it.offset > offset })
    }

    /** Returns the whole state for a peer that is too far behind for [recordsAfter]. */
    fun transfer(): StateTransfer = StateTransfer(state, contentHash(state))

    private fun keepTail(entries: List<LogEntry>) {
        val kept = compacted(tail + entries)
        tail.clear()
        tail.addAll(kept)
        while (tail.size > MAX_TAIL_RECORDS) tailAfterOffset = tail.removeFirst().offset
    }

    private fun isOrdered(batch: RecordBatch): Boolean {
        val offsets = listOf(batch.afterOffset) + batch.entries.map { it.offset }
        return offsets.zipWithNext().all { (a, b) -> a < b }
    }

    private companion object {
        const val MAX_TAIL_RECORDS = 512
    }
}

/** Says what became of an offered batch or state. */
sealed interface OfferResult {
    /** The replica now holds [state]. */
    data class Applied(
        val state: ConfigurationState,
    ) : OfferResult

    /** The offer held nothing new. */
    data object Unchanged : OfferResult

    /** Records after [haveOffset] are missing before the batch. */
    data class Gap(
        val haveOffset: Long,
    ) : OfferResult

    /** The offer is malformed and was ignored. */
    data class Rejected(
        val reason: String,
    ) : OfferResult
}
