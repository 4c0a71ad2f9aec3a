package dev.baobabhollow.proxy.claims

import java.util.concurrent.atomic.LongAdder

/** Counts what a [LogClaims] did since its start, for metrics. */
class ClaimCounters {
    internal val wonAdder = LongAdder()
    internal val lostAdder = LongAdder()
    internal val notRunAdder = LongAdder()
    internal val refusedAdder = LongAdder()
    internal val appendAdder = LongAdder()
    internal val lostReleaseAdder = LongAdder()

    /** Claims that won. */
    val won: Long get() = wonAdder.sum()

    /** Claims that lost to an earlier one. */
    val lost: Long get() = lostAdder.sum()

    /** Claims that were tried and not decided. */
    val notRun: Long get() = notRunAdder.sum()

    /** Claims refused at once because the queue was full or the log was down. */
    val refused: Long get() = refusedAdder.sum()

    /** Appends that the log confirmed. */
    val appends: Long get() = appendAdder.sum()

    /** Releases given up because too many waited; their keys stay blocked until their deadlines. */
    val lostReleases: Long get() = lostReleaseAdder.sum()
}
