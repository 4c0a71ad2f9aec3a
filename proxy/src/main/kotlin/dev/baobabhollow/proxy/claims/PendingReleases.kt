package dev.baobabhollow.proxy.claims

/** Keeps releases until the log confirms them or their keys expire. Confined to the claims thread. */
internal class PendingReleases(
    private val maxSize: Int,
    private val onLoss: () -> Unit,
) {
    private val handles = LinkedHashSet<ClaimHandle>()

    /** Tells whether nothing waits. */
    val isEmpty: Boolean get() = handles.isEmpty()

    /** Keeps [handle], or gives it up when too many wait. */
    fun add(handle: ClaimHandle) {
        if (handles.size < maxSize) handles.add(handle) else onLoss()
    }

    /** Returns at most [count] releases for keys that [isMine] and forgets expired ones. */
    fun select(
        count: Int,
        nowMillis: Long,
        isMine: (ClaimHandle) -> Boolean,
    ): List<ClaimHandle> {
        handles.removeIf { it.key.deadlineMillis + CLOCK_ALLOWANCE_MILLIS <= nowMillis }
        return handles.filter(isMine).take(count)
    }

    /** Forgets releases that the log has confirmed. */
    fun confirm(confirmed: List<ClaimHandle>) = handles.removeAll(confirmed.toSet())

    private companion object {
        /** The log's clock may be behind the node's. */
        const val CLOCK_ALLOWANCE_MILLIS = 60_000L
    }
}
