package dev.baobabhollow.node

import com.github.michaelbull.result.fold
import dev.baobabhollow.model.Endpoint
import dev.baobabhollow.platformlog.LogClientLimits
import dev.baobabhollow.platformlog.LogHttpClient
import io.netty.handler.codec.http.HttpMethod
import org.apache.logging.log4j.Level
import java.util.concurrent.atomic.AtomicBoolean

/**
 * Probes the target on the VM of a node that has just started for its identity. The next heartbeat may be more than a
 * second away, and no call can be served without a known target.
 */
internal class TargetDiscovery(
    private val endpoint: Endpoint,
    private val adapter: PlatformAdapter,
    private val announcements: AnnouncementHandler,
    private val nowMillis: () -> Long,
) {
    private val isStarted = AtomicBoolean()

    /** Probes [healthPath] in the background. Repeated calls have no effect. */
    fun start(healthPath: String) {
        if (!isStarted.compareAndSet(false, true)) return
        Thread({ run(healthPath) }, "target-search").apply { isDaemon = true }.start()
    }

    private fun run(healthPath: String) {
        LogHttpClient(endpoint, LIMITS, nowMillis).use { http ->
            repeat(ATTEMPTS) { attempt ->
                if (attempt > 0) Thread.sleep(PAUSE_MILLIS)
                if (announcements.hasAnnounced || probe(http, healthPath)) return
            }
        }
    }

    private fun probe(
        http: LogHttpClient,
        healthPath: String,
    ): Boolean =
        http.call(HttpMethod.GET, healthPath, ByteArray(0), CONTENT_TYPE, nowMillis() + RESPONSE_MILLIS).fold(
            success = { response ->
                val discovered = adapter.readHealth(response)
                if (discovered ==
                    null
                ) {
                    EventLog.write("target_not_found", "status" to response.status)
                } else {
                    announcements.onProbeResponse(discovered)
                }
                true
            },
            failure = { error ->
                EventLog.write("target_not_found", "error" to error, level = Level.WARN)
                false
            },
        )

    private companion object {
        const val CONTENT_TYPE = "application/octet-stream"

        /** Two attempts and their pause end before the next heartbeat is due, which makes a probe unnecessary. */
        const val ATTEMPTS = 2
        const val RESPONSE_MILLIS = 500L
        const val PAUSE_MILLIS = 200L
        val LIMITS = LogClientLimits(connectTimeoutMillis = RESPONSE_MILLIS, responseTimeoutMillis = RESPONSE_MILLIS)
    }
}
