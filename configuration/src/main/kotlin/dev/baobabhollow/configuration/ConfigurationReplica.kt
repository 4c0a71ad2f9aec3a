package dev.baobabhollow.configuration

import dev.baobabhollow.model.ConfigurationRecord
import dev.baobabhollow.model.ConfigurationState
import dev.baobabhollow.model.LogEntry
import dev.baobabhollow.model.MeshChangeRecord
import dev.baobabhollow.model.MeshConfig
import dev.baobabhollow.model.NO_OFFSET
import dev.baobabhollow.model.logPosition
import java.util.concurrent.atomic.AtomicReference

/**
 * One node's replica of the configuration, with a bounded tail of recent records for peers that are behind.
 *
 * Batches and states must be offered by a single thread; any thread may read [state]. Neither the position of the
 * state, its era and then its offset, nor its version ever decreases.
 */
class ConfigurationReplica internal constructor(
    initial: ConfigurationState,
    replaced: ReplacedOrders,
) {
    /** Creates a replica that starts with [initial]. */
    constructor(initial: ConfigurationState = ConfigurationState.INITIAL) : this(initial, ReplacedOrders())

    private val current = AtomicReference(initial)
    private val tail = ArrayDeque<LogEntry>()
    private val recent = RecentMeshes().also { it.add(initial) }
    private val hasher = ContentHasher()

    /** Orders that this replica has replaced. */
    internal var replacedOrders = replaced
        private set
    private var tailAfterOffset = initial.offset

    /** Latest complete state. */
    val state: ConfigurationState get() = current.get()

    /** Hash of [state]. Its cost depends on the number of routes that differ from those last hashed. */
    val contentHash: String get() = hasher.hash(state)

    /** Applies the new entries of [batch], or none of them if records between the state and the batch are missing. */
    fun offer(batch: RecordBatch): OfferResult {
        if (batch.era < state.era) return OfferResult.Unchanged
        if (!isOrdered(batch)) return OfferResult.Rejected("offsets of the batch are not strictly ascending")
        val isNewEra = batch.era > state.era
        val before = if (isNewEra) state.enterEra(batch, replacedOrders) else state
        if (batch.afterOffset > before.offset) return OfferResult.Gap(state.offset)
        val fresh = batch.entries.filter { it.offset > before.offset }
        if (fresh.isEmpty() && !isNewEra) return OfferResult.Unchanged
        val decodedEntries = mutableListOf<LogEntry>()
        var next = before
        var replaced = replacedOrders
        for (entry in fresh) {
            val decoded =
                deltaDecoded(entry, next) ?: return OfferResult.Rejected("a change does not apply to the configuration")
            val folded = fold(next, decoded)
            replaced = replaced.with(next, folded)
            next = folded
            decodedEntries += decoded
        }
        if (isNewEra) {
            recent.clear()
            forgetRecords(NO_OFFSET)
        }
        replacedOrders = replaced
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

    /**
     * Replaces the state by that of [transfer] if that is newer and its hash matches. In eras above 0 the result also
     * keeps what this replica holds from earlier eras and the other one lacks; see [withRetained].
     */
    fun offer(transfer: StateTransfer): OfferResult {
        val received = transfer.state
        val isMergeable = received.era > 0 && received.logPosition == state.logPosition
        if (received.logPosition <= state.logPosition && !isMergeable) return OfferResult.Unchanged
        if (received.era == 0L && received.version < state.version) {
            return OfferResult.Rejected("version of the state would decrease")
        }
        if (hasher.hash(received) != transfer.contentHash) {
            return OfferResult.Rejected("content hash of the state does not match")
        }
        val next = if (received.era > 0) received.withRetained(state, replacedOrders, hasher::hash) else received
        if (next == state) return OfferResult.Unchanged
        if (received.era != state.era || isMergeable) recent.clear()
        if (!isMergeable) forgetRecords(next.offset)
        replacedOrders = replacedOrders.with(state, next)
        current.set(next)
        recent.add(next)
        return OfferResult.Applied(state)
    }

    private fun forgetRecords(afterOffset: Long) {
        tail.clear()
        tailAfterOffset = afterOffset
    }

    /** Returns the records after [offset] of the current era, or null if [offset] is outside the tail. */
    fun recordsAfter(offset: Long): RecordBatch? {
        if (offset < tailAfterOffset || offset > state.offset) return null
        return RecordBatch(offset, tail.filter { it.offset > offset }, state.era)
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
