package dev.baobabhollow.configuration

import dev.baobabhollow.model.ConfigurationRecord
import dev.baobabhollow.model.ConfigurationState
import dev.baobabhollow.model.LogEntry
import dev.baobabhollow.model.MeshChangeRecord
import dev.baobabhollow.model.MeshConfig
import java.util.concurrent.atomic.AtomicReference

/**
 * One node's replica of the configuration, with a bounded tail of recent records for peers that are behind.
 *
 * Batches and states must be offered by a single thread; any thread may read [state]. The offset and the version of the
 * state never decrease.
 */
class ConfigurationReplica(
    initial: ConfigurationState = ConfigurationState.INITIAL,
) {
    private val current = AtomicReference(initial)
    private val tail = ArrayDeque<LogEntry>()
    private val recent = RecentMeshes().also { it.add(initial) }
    private val hasher = ContentHasher()
    private var tailAfterOffset = initial.offset

    /** Latest complete state. */
    val state: ConfigurationState get() = current.get()

    /** Hash of [state]. Its cost depends on the number of routes that differ from those last hashed. */
    val contentHash: String get() = hasher.hash(state)

    /** Applies the new entries of [batch], or none of them if records between the state and the batch are missing. */
    fun offer(batch: RecordBatch): OfferResult {
        val before = state
        if (!isOrdered(batch)) return OfferResult.Rejected("offsets of the batch are not strictly ascending")
        if (batch.afterOffset > before.offset) return OfferResult.Gap(before.offset)
        val fresh = batch.entries.filter { it.offset > before.offset }
        if (fresh.isEmpty()) return OfferResult.Unchanged
        val decodedEntries = mutableListOf<LogEntry>()
        var next = before
        for (entry in fresh) {
            val decoded =
                deltaDecoded(entry, next) ?: return OfferResult.Rejected("a change does not apply to the configuration")
            next = fold(next, decoded)
            decodedEntries += decoded
        }
        current.set(next)
        recent.add(next)
        appendToTail(decodedEntries)
        return OfferResult.Applied(state)
    }

    /**
     * Returns [entry] with the whole configuration in place of a [MeshChangeRecord], or null if the change does not
     * apply to [state].
     */
    private fun deltaDecoded(
        entry: LogEntry,
        state: ConfigurationState,
    ): LogEntry? {
        val decoded =
            when (val body = entry.record.body) {
                is ConfigurationRecord -> body.copy(mesh = body.mesh.sharing(state.mesh))
                is MeshChangeRecord -> ConfigurationRecord(body.version, meshAfter(body, state) ?: return null)
                else -> return entry
            }
        return entry.copy(record = entry.record.copy(body = decoded))
    }

    private fun meshAfter(
        body: MeshChangeRecord,
        state: ConfigurationState,
    ): MeshConfig? {
        // The fold ignores records whose version is not newer, so any mesh will do.
        if (body.version <= state.version) return state.mesh
        if (body.baseVersion != state.version) return null
        return body.change.applyTo(state.mesh).takeIf { hasher.hash(it) == body.meshHash }
    }

    /** Replaces the state by that of [transfer] if that is newer and its hash matches. */
    fun offer(transfer: StateTransfer): OfferResult {
        if (transfer.state.offset <= state.offset) return OfferResult.Unchanged
        if (transfer.state.version < state.version) return OfferResult.Rejected("version of the state would decrease")
        if (hasher.hash(transfer.state) !=
            transfer.contentHash
        ) {
            return OfferResult.Rejected("content hash of the state does not match")
        }
        current.set(transfer.state)
        recent.add(transfer.state)
        tail.clear()
        tailAfterOffset = transfer.state.offset
        return OfferResult.Applied(state)
    }

    /** Returns the records after [offset], or null if [offset] is outside the tail. */
    fun recordsAfter(offset: Long): RecordBatch? {
        if (offset < tailAfterOffset || offset > state.offset) return null
        return RecordBatch(offset, tail.filter { it.offset > offset })
    }

    /**
     * Returns [batch], a result of [recordsAfter], with [MeshChangeRecord]s in place of the whole configurations that
     * differ little from the one at the start of the batch.
     */
    fun deltaEncoded(batch: RecordBatch): RecordBatch =
        batch.copy(entries = batch.entries.map { recent.deltaEncoded(it, batch.afterOffset, state, hasher) })

    /** Returns the whole state, for a peer that is too far behind for [recordsAfter]. */
    fun transfer(): StateTransfer = StateTransfer(state, contentHash)

    private fun appendToTail(entries: List<LogEntry>) {
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

/** Result of offering a batch or a state to a [ConfigurationReplica]. */
sealed interface OfferResult {
    /** The replica has advanced to [state]. */
    data class Applied(
        val state: ConfigurationState,
    ) : OfferResult

    /** The batch or state contained nothing new. */
    data object Unchanged : OfferResult

    /** Records between [haveOffset], the offset of the replica, and the batch are missing. */
    data class Gap(
        val haveOffset: Long,
    ) : OfferResult

    /** The batch or state is invalid and was ignored. */
    data class Rejected(
        val reason: String,
    ) : OfferResult
}
