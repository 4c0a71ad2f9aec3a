package dev.baobabhollow.bench.distribution

import com.github.michaelbull.result.fold
import dev.baobabhollow.configuration.ConfigurationReplica
import dev.baobabhollow.configuration.RecordBatch
import dev.baobabhollow.model.Endpoint
import dev.baobabhollow.model.StreamName
import dev.baobabhollow.platformlog.HttpPlatformLog
import java.util.concurrent.atomic.AtomicLong

/** Baseline fleet: every node long-polls the log and exchanges no messages with other nodes. */
internal class PollingFleet(
    size: Int,
    private val logEndpoint: Endpoint,
) : BenchFleet {
    private val reads = AtomicLong()
    private val followers = List(size) { Follower(it) }

    override val design = "baseline"
    override val logReads: Long get() = reads.get()
    override val sentBytes = 0.0

    override fun isSettled(): Boolean = followers.all { it.hasRead }

    override fun arrivalsOf(version: Long): List<Long> = followers.mapNotNull { it.arrivals.of(version) }

    override fun close() {
        followers.forEach { it.shutdown() }
        followers.forEach { it.join() }
    }

    private inner class Follower(
        index: Int,
    ) : Thread("follower-$index") {
        val arrivals = VersionArrivals()
        private val client = HttpPlatformLog(logEndpoint)
        private val log = CountingLog(client, reads)
        private val replica = ConfigurationReplica()

        @Volatile
        var hasRead = false

        @Volatile
        private var isStopped = false

        init {
            isDaemon = true
            start()
        }

        fun shutdown() {
            isStopped = true
            client.close()
        }

        override fun run() {
            while (!isStopped) {
                val after = replica.state.offset
                val waitUntil = System.currentTimeMillis() + LONG_POLL_MILLIS
                val entries =
                    log
                        .read(
                            StreamName.CONFIGURATION,
                            after,
                            MAX_RECORDS,
                            waitUntil,
                        ).fold({ it.entries }, { null })
                hasRead = hasRead || entries != null
                if (entries.isNullOrEmpty()) continue
                replica.offer(RecordBatch(after, entries))
                arrivals.record(replica.state.version)
            }
        }
    }

    private companion object {
        const val LONG_POLL_MILLIS = 10_000L
        const val MAX_RECORDS = 256
    }
}
