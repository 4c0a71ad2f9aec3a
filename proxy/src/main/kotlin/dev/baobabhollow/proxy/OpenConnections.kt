package dev.baobabhollow.proxy

/**
 * Bounds the connections that peers keep open. When there are more than [max], it passes the one that has been idle for
 * longest to [close], which may be the one just opened. Not thread-safe.
 */
class OpenConnections<C : Any>(
    private val max: Int,
    private val close: (C) -> Unit,
) {
    /** Connections that may be closed, the longest idle first. */
    private val idle = LinkedHashSet<C>()

    /** Number of open connections. */
    var count = 0
        private set

    /** Adds a connection. Unless [isIdle], it is not closed before it has been reported as [idle]. */
    fun opened(
        connection: C,
        isIdle: Boolean = true,
    ) {
        count++
        if (isIdle) idle.add(connection)
        if (count > max) idle.firstOrNull()?.let(::evict)
    }

    private fun evict(connection: C) {
        idle.remove(connection)
        close(connection)
    }

    /** Keeps [connection] open until it is [idle] again. */
    fun busy(connection: C) {
        idle.remove(connection)
    }

    /** Reports that [connection] is not in use from now on. */
    fun idle(connection: C) {
        idle.add(connection)
    }

    /** Removes a connection that was [opened] and has been closed. */
    fun closed(connection: C) {
        count--
        idle.remove(connection)
    }
}
