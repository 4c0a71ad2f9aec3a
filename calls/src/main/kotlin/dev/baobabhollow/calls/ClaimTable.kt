package dev.baobabhollow.calls

import dev.baobabhollow.model.ClaimsRecord
import dev.baobabhollow.model.KeyClaim
import dev.baobabhollow.model.LogEntry
import dev.baobabhollow.model.NO_OFFSET
import java.util.TreeMap
import java.util.TreeSet

/**
 * Longest time from a claim to its key's deadline, in milliseconds of the log's clock. Earlier claims never win.
 * Exceeds [MAX_KEY_LIFETIME_MILLIS] by one minute to allow for clock skew between nodes and log.
 */
const val MAX_CLAIM_LIFETIME_MILLIS = MAX_KEY_LIFETIME_MILLIS + 60_000L

/** Whether a claim holds its key. */
sealed interface ClaimStatus {
    /** The claimant holds the key, and only it may run the request. */
    data object Won : ClaimStatus

    /** [claimant] claimed the key first. */
    data class Lost(
        val claimant: String,
    ) : ClaimStatus

    /** No claim holds the key, or an earlier claim may be missing from the table. */
    data object Unknown : ClaimStatus
}

/**
 * Table of the claims in the stream of one partition. The first claim of a key wins until its claimant releases it or
 * the key's deadline passes by the log's clock, which must not go back within a stream.
 *
 * The deadline is part of the key, so a key can be decided if the table has seen all claims since
 * [MAX_CLAIM_LIFETIME_MILLIS] before that deadline. Not thread-safe.
 */
class ClaimTable(
    private val partition: Int,
    private val partitions: Int,
    private val maxKeys: Int = DEFAULT_MAX_KEYS,
) {
    private class KeyState {
        var holder: String? = null
        var isCertain = false

        // An append that got no response may take effect after the claimant has released the key; such a claim is
        // ignored.
        var released: Set<String> = emptySet()
    }

    private val keys = HashMap<String, KeyState>()
    private val byDeadline = TreeMap<Long, MutableList<String>>()
    private var completeSinceMillis = Long.MIN_VALUE

    // Deadlines, in seconds, of keys dropped at the size limit. A key's deadline is fixed, so keys of other seconds can
    // still be decided.
    private val droppedDeadlines = TreeSet<Long>()
    private var logMillis = Long.MIN_VALUE
    private var hasGap = false

    /** Offset of the last entry seen. */
    var offset: Long = NO_OFFSET
        private set

    /** Number of keys in the table. */
    val size: Int get() = keys.size

    /** Continues at [earliestOffset] after the log has trimmed the records before it. */
    fun skipTo(earliestOffset: Long) {
        if (earliestOffset <= offset + 1) return
        offset = earliestOffset - 1
        hasGap = true
    }

    /** Adds the next entry; entries at or below [offset] change nothing. */
    fun add(entry: LogEntry) {
        if (entry.offset <= offset) return
        // Entries before this one were missed; none of them was appended later than this one.
        if (hasGap || entry.offset != offset + 1) completeSinceMillis = entry.appendedAtMillis + 1
        hasGap = false
        offset = entry.offset
        logMillis = maxOf(logMillis, entry.appendedAtMillis)
        removeExpired()
        val body = entry.record.body as? ClaimsRecord ?: return
        body.claims.forEach { if (it.release) release(it) else claim(it, entry.appendedAtMillis) }
    }

    /** Returns the status of the claim of [claimant] to [key], whose entry must have been added before. */
    fun status(
        key: String,
        claimant: String,
    ): ClaimStatus {
        val state = keys[key]
        val holder = state?.holder
        return when {
            holder == null -> ClaimStatus.Unknown
            holder != claimant -> ClaimStatus.Lost(holder)
            state.isCertain -> ClaimStatus.Won
            else -> ClaimStatus.Unknown
        }
    }

    private fun claim(
        claim: KeyClaim,
        appendedAtMillis: Long,
    ) {
        val earliestMillis = claim.keyDeadlineMillis - MAX_CLAIM_LIFETIME_MILLIS
        if (appendedAtMillis < earliestMillis || !isValid(claim)) return
        val state = stateOf(claim) ?: return
        if (state.holder != null || claim.claimant in state.released) return
        state.holder = claim.claimant
        val isDropped = claim.keyDeadlineMillis / MILLIS_PER_SECOND in droppedDeadlines
        state.isCertain = earliestMillis >= completeSinceMillis && !isDropped
    }

    private fun release(claim: KeyClaim) {
        if (!isValid(claim)) return
        val state = stateOf(claim) ?: return
        state.released += claim.claimant
        if (state.holder == claim.claimant) state.holder = null
    }

    // A key of another partition means that some node uses another number of partitions, so claims of this partition's
    // keys may be in other streams.
    private fun isValid(claim: KeyClaim): Boolean {
        val deadline = parseNumber(claim.key.substringBefore('-'))
        if (deadline != claim.keyDeadlineMillis || deadline <= logMillis) return false
        val isOwnPartition = partitionOf(claim.key, partitions) == partition
        if (!isOwnPartition) completeSinceMillis = logMillis + 1
        return isOwnPartition
    }

    private fun stateOf(claim: KeyClaim): KeyState? {
        val known = keys[claim.key]
        if (known != null) return known
        if (keys.size >= maxKeys) {
            droppedDeadlines += claim.keyDeadlineMillis / MILLIS_PER_SECOND
            return null
        }
        byDeadline.getOrPut(claim.keyDeadlineMillis, ::mutableListOf).add(claim.key)
        return KeyState().also { keys[claim.key] = it }
    }

    private fun removeExpired() {
        val expired = byDeadline.headMap(logMillis, true)
        expired.values.forEach { texts -> texts.forEach(keys::remove) }
        expired.clear()
        droppedDeadlines.headSet(logMillis / MILLIS_PER_SECOND).clear()
    }

    companion object {
        /** Estimated heap of a key of usual length with its claim on a 64-bit JVM, in bytes. */
        const val KEY_BYTES = 512
        private const val DEFAULT_MAX_KEYS = 50_000
        private const val MILLIS_PER_SECOND = 1_000L
    }
}
