package dev.baobabhollow.proxy.claims

/** Releases that wait until the log confirms them or their keys expire. Confined to the claims thread. */
internal class PendingReleases(
    private val maxSize: Int,
    private val onLoss: () -> Unit,
) {
    private val handles = LinkedHashSet<ClaimHandle>()

    /** True if no release is pending. */
    val isEmpty: Boolean get() = handles.isEmpty()

    /** Adds [handle], or drops it if too many are pending. */
    fun add(handle: ClaimHandle) {
        if (handles.size < maxSize) handles.add(handle) else onLoss()
    }

    /** Returns at most [count] releases that match [isMine], and drops expired ones. */
    fun select(
        count: Int,
        nowMillis: Long,
        isMine: (ClaimHandle) -> Boolean,
    ): List<ClaimHandle> {
        handles.removeIf { it.key.deadlineMillis + CLOCK_ALLOWANCE_MILLIS <= nowMillis }
        return handles.filter(isMine).take(count)
    }

    /** Removes releases that the log has confirmed. */
    fun confirm(confirmed: List<ClaimHandle>) = handles.removeAll(confirmed.toSet())

    private companion object {
        /** Tolerated lag of the log's clock behind the node's. */
        const val CLOCK_ALLOWANCE_MILLIS = 60_000L
    }
}
