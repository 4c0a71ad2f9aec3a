package dev.baobabhollow.configuration

import dev.baobabhollow.model.ConfigurationRecord
import dev.baobabhollow.model.ConfigurationState
import dev.baobabhollow.model.LogEntry
import dev.baobabhollow.model.MeshChangeRecord
import dev.baobabhollow.model.MeshConfig
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
    private val recent = RecentMeshes().also { it.note(initial) }
    private val hasher = ContentHasher()
    private var tailAfterOffset = initial.offset

    /** Latest complete state. */
    val state: ConfigurationState get() = current.get()

    /** Hash of [state]. Costs as much as what has changed since it was last asked for. */
    val contentHash: String get() = hasher.hash(state)

    /** Applies the entries of [batch] that are new, or nothing when records between the state and the batch are missing. */
    fun offer(batch: RecordBatch): OfferResult {
        val before = state
        if (!isOrdered(batch)) return OfferResult.Rejected("offsets of the batch do not rise")
        if (batch.afterOffset > before.offset) return OfferResult.Gap(before.offset)
        val fresh = batch.entries.filter { it.offset > before.offset }
        if (fresh.isEmpty()) return OfferResult.Unchanged
        val whole = mutableListOf<LogEntry>()
        var next = before
        for (entry in fresh) {
            val expanded =
                expanded(entry, next) ?: return OfferResult.Rejected("a change does not fit the configuration")
            next = fold(next, expanded)
            whole += expanded
        }
        current.set(next)
        recent.note(next)
        keepTail(whole)
        return OfferResult.Applied(state)
    }

    /** Returns [entry] with a whole configuration, or null if it holds a change that does not fit [state]. */
    private fun expanded(
        entry: LogEntry,
        state: ConfigurationState,
    ): LogEntry? {
        val whole =
            when (val body = entry.record.body) {
                is ConfigurationRecord -> body.copy(mesh = body.mesh.sharing(state.mesh))
                is MeshChangeRecord -> ConfigurationRecord(body.version, changed(body, state) ?: return null)
                else -> return entry
            }
        return entry.copy(record = entry.record.copy(body = whole))
    }

    private fun changed(
        body: MeshChangeRecord,
        state: ConfigurationState,
    ): MeshConfig? {
        // Folding ignores it then, whatever it holds.
        if (body.version <= state.version) return state.mesh
        if (body.baseVersion != state.version) return null
        return body.change.applyTo(state.mesh).takeIf { hasher.hash(it) == body.meshHash }
    }

    /** Takes over a whole state if it is newer than this copy and its hash matches. */
    fun offer(transfer: StateTransfer): OfferResult {
        if (transfer.state.offset <= state.offset) return OfferResult.Unchanged
        if (transfer.state.version < state.version) return OfferResult.Rejected("version would go back")
        if (hasher.hash(transfer.state) !=
            transfer.contentHash
        ) {
            return OfferResult.Rejected("content hash does not match")
        }
        current.set(transfer.state)
        recent.note(transfer.state)
        tail.clear()
        tailAfterOffset = transfer.state.offset
        return OfferResult.Applied(state)
    }

    /** Returns the records after [offset], or null when the tail does not reach back that far. */
    fun recordsAfter(offset: Long): RecordBatch? {
        if (offset < tailAfterOffset || offset > state.offset) return null
        return RecordBatch(offset, tail.filter { it.offset > offset })
    }

    /**
     * Returns [batch], which [recordsAfter] has returned, with what has changed since its offset in place of a whole
     * configuration where most of it is the same.
     */
    fun deltaEncoded(batch: RecordBatch): RecordBatch =
        batch.copy(entries = batch.entries.map { recent.deltaEncoded(it, batch.afterOffset, state, hasher) })

    /** Returns the whole state for a peer that is too far behind for [recordsAfter]. */
    fun transfer(): StateTransfer = StateTransfer(state, contentHash)

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
