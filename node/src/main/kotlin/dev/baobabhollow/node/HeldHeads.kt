package dev.baobabhollow.node

/**
 * Counts the memory of the header fields that the incomplete requests of a port hold. Above [maxBytes], it passes the
 * connection that holds most to [close]. Not thread-safe.
 */
internal class HeldHeads<C : Any>(
    private val maxBytes: Long,
    private val close: (C) -> Unit,
) {
    private val held = HashMap<C, Long>()

    /** Connections that are being closed; several may be read before the first of them is gone. */
    private val closing = HashSet<C>()
    private var total = 0L

    /** Adds the [bytes] of a field that [connection] has received. */
    fun add(
        connection: C,
        bytes: Long,
    ) {
        if (connection in closing) return
        total += bytes
        held.merge(connection, bytes, Long::plus)
        if (total > maxBytes) held.maxByOrNull { it.value }?.let { evict(it.key) }
    }

    private fun evict(connection: C) {
        release(connection)
        closing += connection
        close(connection)
    }

    /** Called when the request of [connection] is complete. */
    fun release(connection: C) {
        total -= held.remove(connection) ?: 0L
    }

    /** Called when [connection] is closed. */
    fun closed(connection: C) {
        release(connection)
        closing -= connection
    }
}
