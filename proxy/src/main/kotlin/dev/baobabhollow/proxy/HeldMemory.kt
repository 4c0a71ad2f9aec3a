package dev.baobabhollow.proxy

import java.util.concurrent.atomic.AtomicLong

/**
 * Counts the memory that the calls and connections of a node hold in all, and decides what may still be added. Reaching
 * [limitBytes] must not be left to the allocator: it blocks the event loop and then fails, or the process ends.
 *
 * What can be missed is given up first: copies for retries, then calls with a body, then all new calls and whatever a
 * call would have to hold. Thread-safe.
 */
internal class HeldMemory(
    private val limitBytes: Long,
) {
    private val held = AtomicLong()

    /** Bytes held now. */
    val bytes: Long get() = held.get()

    /** True once nothing more may be held. */
    val isFull: Boolean get() = bytes >= limitBytes

    /** True once so much is held beyond the limit that connections are closed instead of being read. */
    val isExhausted: Boolean get() = bytes >= limitBytes + limitBytes / EXCESS_DIVISOR

    /** True if [copyBytes] of a body may be kept for a retry. */
    fun allowsCopy(copyBytes: Int): Boolean =
        if (copyBytes <= SMALL_COPY_BYTES) !isScarce else bytes < limitBytes / COPIES_DIVISOR

    /** True when little room is left. */
    val isScarce: Boolean get() = !hasRoomFor(0)

    private fun hasRoomFor(bytes: Long) = this.bytes + bytes < limitBytes - limitBytes / RESERVE_DIVISOR

    /** True if a call may be accepted that has to hold up to [bodyBytes] of its body. */
    fun allowsCall(bodyBytes: Long): Boolean = if (bodyBytes == 0L) !isFull else hasRoomFor(bodyBytes)

    /**
     * True if a call that holds [heldBytes] of its body and was not sent yet may read on. A caller that disconnects is
     * noticed only by reading, and must not be taken for one that waits.
     */
    fun allowsReadAhead(heldBytes: Int): Boolean =
        heldBytes < MAX_READ_AHEAD_BYTES && bytes < limitBytes / COPIES_DIVISOR

    /** Adds [delta] bytes, which is negative when memory is released. */
    fun add(delta: Long) {
        if (delta != 0L) held.addAndGet(delta)
    }

    private companion object {
        /** A copy of this size takes as much as the objects of its call. */
        const val SMALL_COPY_BYTES = 2_048

        /**
         * Longer copies for retries and bodies of waiting calls may take a third, so that a burst of uploads still finds
         * room to be forwarded.
         */
        const val COPIES_DIVISOR = 3

        /** Most uploads are shorter. A longer one is read on only when it is sent. */
        const val MAX_READ_AHEAD_BYTES = 1_048_576

        /** A quarter is reserved for calls without a body and for what the accepted calls still receive. */
        const val RESERVE_DIVISOR = 4

        /** An eighth beyond the limit is for what has been read when the limit is reached. */
        const val EXCESS_DIVISOR = 8
    }
}

/** Part of [memory] that one holder accounts for. Not thread-safe. */
internal class HeldAccount(
    private val memory: HeldMemory,
) {
    private var bytes = 0L

    /** Changes the holder's part to [next] bytes. */
    fun set(next: Long) {
        memory.add(next - bytes)
        bytes = next
    }
}
