package dev.baobabhollow.proxy.claims

/** Keeps releases until the log confirms them or their keys expire. Confined to the claims thread. */
internal class PendingReleases(
    private val maxSize: Int,
    private val onLoss: () -> Unit,
) {
    private val holds = LinkedHashSet<ClaimHandle>()

    /** Tells whether nothing waits. */
    val isEmpty: Boolean get() = holds.isEmpty()

    /** Keeps [handle], or gives it up when too many wait. */
    fun add(handle: ClaimHandle) {
        if (holds.size < maxSize) holds.add(handle) else onLoss()
    }

    /** Returns at most [count] releases for keys that [isMine] and forgets expired ones. */
    fun select(
        count: Int,
        nowMillis: Long,
        isMine: (ClaimHandle) -> Boolean,
    ): List<ClaimHandle> {
        holds.removeIf { it.key.deadlineMillis + CLOCK_ALLOWANCE_MILLIS <= nowMillis }
        return holds.filter(isMine).take(count)
    }

    /** Forgets releases that the log has confirmed. */
    fun confirm(confirmed: List<ClaimHandle>) = holds.removeAll(confirmed.toSet())

    private companion object {
        /** The log's clock may be behind the node's. */
        const val CLOCK_ALLOWANCE_MILLIS = 60_000L
    }
}
