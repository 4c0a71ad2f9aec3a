package dev.baobabhollow.proxy.claims

import java.util.concurrent.atomic.LongAdder

/** Counters of a [LogClaims] since its start, for metrics. */
class ClaimCounters {
    internal val wonAdder = LongAdder()
    internal val lostAdder = LongAdder()
    internal val notRunAdder = LongAdder()
    internal val refusedAdder = LongAdder()
    internal val appendAdder = LongAdder()
    internal val lostReleaseAdder = LongAdder()

    /** Claims that won. */
    val won: Long get() = wonAdder.sum()

    /** Claims that lost to an earlier claim. */
    val lost: Long get() = lostAdder.sum()

    /** Claims that were attempted and not decided. */
    val notRun: Long get() = notRunAdder.sum()

    /** Claims refused immediately because the queue was full or the log was down. */
    val refused: Long get() = refusedAdder.sum()

    /** Appends confirmed by the log. */
    val appends: Long get() = appendAdder.sum()

    /** Releases dropped because too many were pending; their keys stay blocked until their deadlines. */
    val lostReleases: Long get() = lostReleaseAdder.sum()
}
